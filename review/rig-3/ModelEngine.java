import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;

/** Stand-in of a model engine: its report, its orders, and streams of events. It restarts empty, under a new id, with its disk. */
final class ModelEngine {
    record Arrival(double ms, String id, boolean poison) { }

    private final Rig rig;
    private final Store store;
    final int number;
    final String zone;
    final Address address;
    final Set<String> onDisk = ConcurrentHashMap.newKeySet();
    final Map<String, Integer> held = new ConcurrentHashMap<>();
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    final List<Double> crashes = new CopyOnWriteArrayList<>();
    /** Part of a prompt that ends each engine which begins to write an answer on it; null if there is none. */
    volatile String poison;
    volatile String id;
    volatile boolean up;
    /** Memory for weights; each model takes [MODEL_MB]. */
    int weightsMb = 200_000;
    static final int MODEL_MB = 72_700;
    /** Whether it starts again under the id that it had. */
    boolean keepsId;
    /** Called with the model of an order to load; returns the time after which it is carried out without an answer, 0 for as usual. */
    volatile java.util.function.ToDoubleFunction<String> lateness = model -> 0;
    /** How often it was ordered to load more than its memory holds. */
    final java.util.concurrent.atomic.AtomicInteger overloads = new java.util.concurrent.atomic.AtomicInteger();
    private volatile long born;
    private volatile boolean busy;
    private long sequence, fence;
    private int starts, active;
    private Http.Server server;

    ModelEngine(Rig rig, Store store, int number, String zone, Address address) {
        this.rig = rig; this.store = store; this.number = number; this.zone = zone; this.address = address;
    }

    synchronized void start(List<String> models) throws IOException {
        starts++;
        id = "i-model" + number + (keepsId ? "" : "-" + starts);
        born = System.currentTimeMillis();
        busy = false;
        sequence = 0;
        fence = 0;
        active = 0;
        held.clear();
        models.forEach(model -> { held.put(model, 1); onDisk.add(model); });
        server = new Http.Server(address, this::handle);
        up = true;
        rig.log("engine %s starts", id);
        register();
    }

    private String models() {
        StringJoiner list = new StringJoiner(",", "[", "]");
        held.keySet().forEach(model -> list.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}"));
        return list.toString();
    }

    private void register() {
        store.put("servers", id, "{\"service\":\"wax-advisor\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"colocated\",\"models\":" + models()
            + ",\"sequence\":" + sequence + ",\"born\":" + born + "}");
    }

    /** Ends at once, and is back after three seconds; its entry goes after three heartbeats. */
    void crash(String cause, double downMs) {
        synchronized (this) {
            if (!up) return;
            up = false;
            crashes.add(rig.ms());
            rig.log("engine %s CRASHES %s", id, cause);
            server.close();
        }
        String ended = id;
        if (!keepsId) Http.daemon(() -> { Rig.sleep(3600); store.remove("servers", ended); });
        Http.daemon(() -> {
            Rig.sleep(downMs);
            try { start(List.of()); } catch (IOException e) { rig.log("engine %d cannot start: %s", number, e); }
        });
    }

    private void handle(Http.Request request, Http.Connection connection) throws IOException {
        String target = request.header("X-Almondjunction-Target-Instance");
        if (request.path().equals("/v1/report")) {
            connection.answer(200, Map.of("Content-Type", "application/json"), "{\"stage\":\"colocated\",\"models\":" + models() + ",\"busy\":"
                + busy + ",\"sequence\":" + sequence + ",\"queued\":0,\"active\":" + active + ",\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,"
                + "\"coming\":[],\"atHand\":{\"inMemory\":[],\"onDisk\":[" + quoted(onDisk) + "]},\"born\":" + born + "}");
        } else if (request.path().equals("/v1/order")) {
            String body = new String(request.body, StandardCharsets.UTF_8);
            double lateMs = "load".equals(field(body, "operation")) ? lateness.applyAsDouble(field(body, "model")) : 0;
            if (lateMs > 0) {
                rig.log("engine %s leaves unanswered: %s", id, body);
                Http.daemon(() -> {
                    Rig.sleep(lateMs);
                    int carriedOut = !up ? 0 : target != null && !target.equals(id) ? 421 : order(body);
                    rig.log("engine %s, %.0f ms late, carries out: %s: status %d", id, lateMs, body, carriedOut);
                });
                while (connection.in.read() >= 0) { /* until the caller closes */ }
                return;
            }
            int status = target != null && !target.equals(id) ? 421 : order(body);
            rig.log("engine %s is ordered: %s: status %d", id, body, status);
            connection.answer(status, Map.of("Content-Type", "application/json"), "{}");
        } else {
            generate(request, connection, target);
        }
    }

    private static String quoted(Collection<String> names) {
        StringJoiner list = new StringJoiner(",");
        names.forEach(name -> list.add("\"" + name + "\""));
        return list.toString();
    }

    private static String field(String body, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":\"?([^\",}]+)").matcher(body);
        return found.find() ? found.group(1) : null;
    }

    private synchronized int order(String body) {
        String model = field(body, "model"), operation = field(body, "operation"), expected = field(body, "expected");
        long token = Long.parseLong(field(body, "fenceToken"));
        if (token < fence) return 412;
        fence = token;
        boolean load = "load".equals(operation);
        if (held.containsKey(model) == load) return 200;
        if (busy || (expected != null && Long.parseLong(expected) != sequence)) return 409;
        sequence++;
        if (load && (held.size() + 1) * MODEL_MB > weightsMb) {
            overloads.incrementAndGet();
            rig.log("BROKEN: engine %s holds %s and is ordered to load %s: %d MB of %d MB", id, held.keySet(), model, (held.size() + 1) * MODEL_MB,
                weightsMb);
            Http.daemon(() -> crash("as it is ordered to load more than it holds", 3000));
            return 202;
        }
        busy = true;
        int incarnation = starts;
        double takesMs = !load ? 100 : onDisk.contains(model) ? 840 : 6000;
        Http.daemon(() -> {
            Rig.sleep(takesMs);
            synchronized (this) {
                if (!up || incarnation != starts) return;
                if (load) { held.put(model, 1); onDisk.add(model); } else held.remove(model);
                busy = false;
                register();
            }
        });
        return 202;
    }

    private void generate(Http.Request request, Http.Connection connection, String target) throws IOException {
        String requestId = request.header("X-Almondjunction-Request-Id"), model = request.header("X-Almondjunction-Model");
        String prefix = request.header("X-Almondjunction-Prompt-Prefix");
        if ((target != null && !target.equals(id)) || !held.containsKey(model)) {
            connection.answer(421, Map.of("X-Almondjunction-Request-Id", requestId, "X-Almondjunction-Instance-Id", id), "");
            return;
        }
        boolean deadly = poison != null && prefix != null && ("," + prefix).contains("," + poison + ":");
        arrivals.add(new Arrival(rig.ms(), requestId, requestId.startsWith("poison")));
        if (requestId.startsWith("poison")) rig.log("engine %s receives %s for %s with parts %s", id, requestId, model, shortened(prefix));
        synchronized (this) { active++; }
        try {
            Rig.sleep(60);
            if (deadly) { crash("as it begins to answer " + requestId, 3000); return; }
            connection.out.write(("HTTP/1.1 200 OK\r\nX-Almondjunction-Request-Id: " + requestId + "\r\nX-Almondjunction-Response-Stamp: s." + id
                + "." + requestId + "\r\nX-Almondjunction-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int event = 1; event <= 12; event++) {
                String text = "id: " + event + "\ndata: piece " + event + " of " + requestId + "\n\n";
                connection.out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                connection.out.flush();
                Rig.sleep(50);
            }
            connection.out.write("0\r\n\r\n".getBytes());
            connection.out.flush();
        } finally {
            synchronized (this) { active--; }
        }
    }

    static String shortened(String prefix) { return prefix.length() < 90 ? prefix : prefix.substring(0, 60) + ".. (" + prefix.split(",").length + " parts)"; }
}
