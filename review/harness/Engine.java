import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of an engine of a plain service. It runs `slots` requests at once, queues a few more and refuses the rest. */
class Engine {
    final Bed bed;
    final String id;
    final String service;
    final String ip;
    final int port;
    final long born = System.currentTimeMillis();
    final AtomicInteger sequence = new AtomicInteger(1);
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    final Map<String, Double> ranAt = new ConcurrentHashMap<>();
    int slots = 6;
    int queue = 4;
    int workMs = 40;
    int workSpreadMs = 0;
    private final AtomicInteger inside = new AtomicInteger();
    private final java.util.concurrent.Semaphore free = new java.util.concurrent.Semaphore(1_000, true);
    private final ServerSocket listener;

    Engine(Bed bed, String id, String service) throws IOException {
        this.bed = bed;
        this.id = id;
        this.service = service;
        ip = bed.newHost();
        listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
        port = listener.getLocalPort();
    }

    Engine start() {
        free.drainPermits();
        free.release(slots);
        Store.daemon(() -> {
            while (true) {
                Http.Connection connection = new Http.Connection(listener.accept());
                Store.daemon(() -> serve(connection));
            }
        });
        return this;
    }

    void report(String state) {
        bed.store.put("servers", id, entry(state));
        bed.note("store: " + id + " is " + state);
    }

    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"split-a\",\"version\":1,\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"sequence\":" + sequence.getAndIncrement() + ",\"born\":" + born + "}";
    }

    int runsOf(String request) {
        AtomicInteger count = runs.get(request);
        return count == null ? 0 : count.get();
    }

    private void serve(Http.Connection connection) throws Exception {
        try (connection) {
            while (true) {
                Http.Message request = connection.read();
                if (request == null) return;
                if (!answer(connection, request)) return;
            }
        }
    }

    /** Answers one request; a case may replace this. Returns whether the connection is kept. */
    boolean answer(Http.Connection connection, Http.Message request) throws Exception {
        String head = decide(request);
        connection.write(head, bodyOf(head, request));
        return true;
    }

    byte[] bodyOf(String head, Http.Message request) {
        return head.startsWith("HTTP/1.1 200") ? ("ran " + request.header("X-Almondjunction-Request-Id")).getBytes() : new byte[0];
    }

    /** Runs or refuses the request and returns the head of the response. */
    String decide(Http.Message request) throws InterruptedException {
        String request_id = request.header("X-Almondjunction-Request-Id");
        String target = request.header("X-Almondjunction-Target-Instance");
        if (target != null && !target.equals(id)) return refusal("421 Misdirected Request", request_id);
        if (inside.incrementAndGet() > slots + queue) {
            inside.decrementAndGet();
            return refusal("503 Service Unavailable", request_id);
        }
        free.acquire();
        try {
            runs.computeIfAbsent(request_id, key -> new AtomicInteger()).incrementAndGet();
            ranAt.put(request_id, bed.seconds());
            bed.note(id + " runs " + request_id);
            Thread.sleep(workMsOf(request));
        } finally {
            free.release();
            inside.decrementAndGet();
        }
        return "HTTP/1.1 200 OK\r\nX-Almondjunction-Request-Id: " + request_id + "\r\nX-Almondjunction-Response-Stamp: 3e1b." + request_id
            + "\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=10\r\nContent-Length: " + ("ran " + request_id).length() + "\r\n\r\n";
    }

    /** Time that the request takes once it runs; a case may replace this. */
    long workMsOf(Http.Message request) {
        return workMs - workSpreadMs + java.util.concurrent.ThreadLocalRandom.current().nextInt(2 * workSpreadMs + 1);
    }

    String refusal(String status, String request_id) {
        return "HTTP/1.1 " + status + "\r\nX-Almondjunction-Request-Id: " + request_id + "\r\nX-Almondjunction-Instance-Id: " + id
            + "\r\nX-Almondjunction-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n";
    }
}
