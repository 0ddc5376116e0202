import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A front is stopped as planned while it answers streams; their clients send the next request on the same connection. */
final class LateStream {
    private static final int CLIENTS = 8;
    private static final int GRACE_MS = 8_000;
    private static final int LATE_MS = 3_000;
    private static final int CHAT_MS = 3_500;
    private static final int CHAT_STEP_MS = 50;
    private static final int PREP_MS = 5_000;
    private static final int EVENTS = 13;

    /** An engine that sends a stream of EVENTS events, evenly over the time that the request takes. */
    private static final class StreamingEngine extends Engine {
        StreamingEngine(Bed bed, String id) throws IOException {
            super(bed, id, "wax-advisor");
            slots = 64;
        }

        @Override
        boolean answer(Http.Connection connection, Http.Message request) throws Exception {
            String requestId = request.header("X-Almondjunction-Request-Id");
            runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
            bed.note(id + " runs " + requestId);
            int client = Integer.parseInt(requestId.split("-")[1]);
            int lengthMs = request.target().startsWith("/chat/") ? CHAT_MS + client * CHAT_STEP_MS : PREP_MS;
            connection.write("HTTP/1.1 200 OK\r\nX-Almondjunction-Request-Id: " + requestId + "\r\nX-Almondjunction-Response-Stamp: 3e1b." + requestId
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n\r\n");
            for (int event = 1; event <= EVENTS; event++) {
                Thread.sleep(lengthMs / EVENTS);
                String text = "id: " + event + "\ndata: klister\n\n";
                connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            connection.write("0\r\n\r\n");
            bed.note(id + " has sent the whole answer to " + requestId);
            return true;
        }
    }

    public static void main(String[] arguments) {
        Bed.main(arguments[0], LateStream::run);
    }

    private static String route(String name, String timeoutMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/" + name + "/\",\"routeType\":\"stream\",\"service\":\"wax-advisor\","
            + "\"timeoutMs\":" + timeoutMs + ",\"maxAttempts\":1,\"targetLatencyMs\":2500,\"gapTargetMs\":400,\"priority\":1}";
    }

    private static boolean run(Bed bed) throws Exception {
        bed.store.put("config", "main", "{\"version\":3,\"routes\":[" + route("chat", "15000") + "," + route("prep", "17000")
            + "],\"services\":[{\"name\":\"wax-advisor\",\"maxConns\":370}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        List<Engine> engines = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            Engine engine = new StreamingEngine(bed, "i-" + index).start();
            engine.report("ready");
            engines.add(engine);
        }
        Bed.Front front = bed.startFront("front-1");
        front.awaitReady(20_000);
        Thread.sleep(5_000);

        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        double[] stopAt = {Double.MAX_VALUE};
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Thread thread = new Thread(() -> {
                Http.Connection connection = null;
                try {
                    connection = front.connect(20_000);
                    for (int count = 0; count < 2; count++) call(bed, connection, "chat-" + number + "-" + count, "/chat/2f");
                } catch (IOException failure) {
                    bed.note("client " + number + ": a chat ended without a complete answer: " + failure.getMessage());
                    return;
                }
                double sentAt = bed.seconds();
                String request = "prep-" + number;
                try {
                    int status = call(bed, connection, request, "/prep/2f");
                    (status == 200 ? answered : refused).incrementAndGet();
                } catch (IOException failure) {
                    double endedAt = bed.seconds();
                    bed.note("client gets no complete answer for " + request + ": " + failure.getMessage());
                    boolean late = sentAt > stopAt[0] + LATE_MS / 1_000.0 && endedAt <= stopAt[0] + GRACE_MS / 1_000.0 + 1;
                    boolean wasRead = engines.stream().anyMatch(engine -> engine.runsOf(request) > 0);
                    if (late && wasRead) lost.incrementAndGet();
                }
            });
            thread.start();
            clients.add(thread);
        }
        Thread.sleep(CHAT_MS + CLIENTS * CHAT_STEP_MS + 100);
        if (bed.trouble) {
            stopAt[0] = bed.seconds();
            front.process.destroy();
            bed.note("front-1 gets SIGTERM");
        }
        for (Thread client : clients) client.join();
        bed.note("rare requests sent later than 3 s after SIGTERM: answered " + answered + ", refused " + refused + ", passed on and then cut " + lost);
        return lost.get() == 0;
    }

    private static int call(Bed bed, Http.Connection connection, String request, String path) throws IOException {
        bed.note("client sends " + request);
        connection.write("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Almondjunction-Request-Id: " + request
            + "\r\nX-Almondjunction-Token-Count: 9190,52\r\nX-Almondjunction-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nbody");
        Http.Message answer = connection.read();
        if (answer == null) throw new IOException("closed");
        bed.note("client gets " + answer.status() + " for " + request + ", whole");
        return answer.status();
    }
}
