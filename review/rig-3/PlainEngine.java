import java.io.IOException;
import java.util.*;
import java.util.concurrent.*;

/** Stand-in of an engine of a plain service: runs a request for some time and answers it. */
final class PlainEngine {
    /** What an engine does with a request that it has accepted, before it answers. */
    interface Behaviour { void run(Http.Request request, Http.Connection connection, Map<String, String> headers) throws IOException; }

    record Arrival(double ms, String id, String front) { }

    private final Rig rig;
    private final Store store;
    final String id, zone;
    final Address address;
    final long born = System.currentTimeMillis();
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    final Set<String> ran = ConcurrentHashMap.newKeySet();
    final Set<String> answered = ConcurrentHashMap.newKeySet();
    volatile boolean leaving;
    volatile Behaviour behaviour;
    private Http.Server server;
    private final long workMs;

    PlainEngine(Rig rig, Store store, String id, String zone, Address address, long workMs) throws IOException {
        this.rig = rig; this.store = store; this.id = id; this.zone = zone; this.address = address; this.workMs = workMs;
        server = new Http.Server(address, this::handle);
    }

    String entry(String state, int cold) {
        return "{\"service\":\"bench-booking\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,"
            + "\"state\":\"" + state + "\",\"coldRemainingMs\":" + cold + ",\"sequence\":" + (System.currentTimeMillis() - born) / 1200
            + ",\"born\":" + born + "}";
    }

    void register(int cold) { store.put("servers", id, entry("ready", cold)); }

    private void handle(Http.Request request, Http.Connection connection) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String requestId = request.header("X-Almondjunction-Request-Id");
        if (request.path().equals("/health")) {
            connection.answer(leaving ? 503 : 200, Map.of("X-Almondjunction-Instance-Id", id), "");
            return;
        }
        String wanted = request.header("X-Almondjunction-Target-Instance");
        if (wanted != null && !wanted.equals(id)) {
            connection.answer(421, Map.of("X-Almondjunction-Request-Id", requestId, "X-Almondjunction-Instance-Id", id), "");
            return;
        }
        arrivals.add(new Arrival(rig.ms(), requestId, connection.socket.getInetAddress().getHostAddress()));
        rig.log("engine %s receives %s %s %s%s", id, requestId, request.method, request.target, leaving ? " (it is leaving)" : "");
        headers.put("X-Almondjunction-Request-Id", requestId);
        headers.put("Keep-Alive", "timeout=5");
        if (leaving) headers.put("Server-Leaving", "1");
        ran.add(requestId);
        Rig.sleep(workMs);
        headers.put("X-Almondjunction-Response-Stamp", "s." + id + "." + requestId);
        if (behaviour != null) { behaviour.run(request, connection, headers); return; }
        connection.answer(200, headers, "done by " + id);
        answered.add(requestId);
    }

    /** The process ends. */
    void exit() { server.close(); }
}
