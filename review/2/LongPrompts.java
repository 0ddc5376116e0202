import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, each with a prompt of his own that is listed in parts of 16 tokens. */
final class LongPrompts {
    private static final int PART_TOKENS = 16;
    private static final int PARTS = 700;
    private static final int USUAL_USERS = 8;
    private static final double USUAL_PER_S = 6;
    private static final double BURST_X = 2.4;
    private static final int BURSTS = 2;
    private static final double BURST_EVERY_S = 20;
    private static final int CHATS = 10;
    private static final int CHAT_MS = 2_200;
    private static final int LANES = 16;
    private static final double FIRST_S = 5;
    private static final double BURST_FOR_S = 6;
    private static final int LOAD_S = 60;

    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger closedAfterRun = new AtomicInteger();
    private static final AtomicInteger closedBeforeRun = new AtomicInteger();

    public static void main(String[] arguments) {
        Bed.main(arguments[0], LongPrompts::run);
    }

    /** An engine that holds the model and answers with a stream of events. */
    private static final class StreamingEngine extends Engine {
        StreamingEngine(Bed bed, String id) throws IOException {
            super(bed, id, "wax-advisor");
            slots = 64;
            queue = 64;
            workMs = 1_000;
        }

        @Override
        String entry(String state) {
            return super.entry(state).replace("}", ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]}");
        }

        @Override
        boolean answer(Http.Connection connection, Http.Message request) throws Exception {
            if (request.target().equals("/v1/report")) {
                String report = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,"
                    + "\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0}";
                connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
                return true;
            }
            return super.answer(connection, request);
        }

        @Override
        long workMsOf(Http.Message request) {
            return request.target().startsWith("/review/chat") ? CHAT_MS : super.workMsOf(request);
        }

        @Override
        String decide(Http.Message request) throws InterruptedException {
            return super.decide(request).replace("text/plain", "text/event-stream")
                .replaceFirst("Content-Length: [1-9]\\d*", "Content-Length: " + new String(bodyOf("HTTP/1.1 200", request)).length());
        }

        @Override
        byte[] bodyOf(String head, Http.Message request) {
            return head.startsWith("HTTP/1.1 200") ? "id: 1\ndata: klister\n\nid: 2\ndata: [end]\n\n".getBytes() : new byte[0];
        }
    }

    private static boolean run(Bed bed) throws Exception {
        bed.store.put("config", "main", "{\"version\":3,\"routes\":[{\"name\":\"review\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/review/\","
            + "\"routeType\":\"stream\",\"service\":\"wax-advisor\",\"timeoutMs\":6000,\"maxAttempts\":1,\"targetLatencyMs\":800,\"gapTargetMs\":400,"
            + "\"priority\":2,\"sticky\":true}],\"services\":[{\"name\":\"wax-advisor\",\"maxConns\":370,\"engine\":{\"slots\":64,\"kvCapacity\":232000,"
            + "\"weightsMb\":200000,\"adapterSlots\":8,\"models\":[{\"name\":\"m0\",\"weightsMb\":72700,\"loadS\":6,\"adapters\":0,\"adapterMb\":66}]}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        List<Engine> engines = new ArrayList<>();
        for (int index = 1; index <= 6; index++) {
            Engine engine = new StreamingEngine(bed, "i-" + index).start();
            engine.report("ready");
            bed.startSide("side-" + index, engine.ip, engine.port);
            engines.add(engine);
        }
        Bed.Front front = bed.startFront("front-1");
        front.awaitReady(20_000);
        Thread.sleep(4_000);
        bed.note("the header X-Almondjunction-Prompt-Prefix has " + prefix("user-0").length() + " bytes");
        double start = bed.seconds();
        List<Thread> clients = new ArrayList<>();
        for (int user = 0; user < USUAL_USERS; user++) {
            clients.add(client(bed, front, engines, "user-" + user, start + user / USUAL_PER_S, LOAD_S, USUAL_USERS / USUAL_PER_S, false));
        }
        for (int chat = 0; chat < CHATS; chat++) {
            double gapS = CHAT_MS / 1_000.0 + 0.05;
            clients.add(client(bed, front, engines, "chat-" + chat, start + chat * gapS / CHATS, LOAD_S, gapS, false));
        }
        double extraPerS = USUAL_PER_S * (BURST_X - 1);
        for (int burst = 0; bed.trouble && burst < BURSTS; burst++) {
            for (int lane = 0; lane < LANES; lane++) {
                double from = start + 8 + burst * BURST_EVERY_S;
                clients.add(client(bed, front, engines, "new-" + burst + lane, from + lane / extraPerS, BURST_FOR_S - lane / extraPerS, LANES / extraPerS, true));
            }
        }
        for (Thread client : clients) while (client.isAlive() && front.process.isAlive()) client.join(100);
        Thread.sleep(2_000);
        bed.note("answered 200: " + answered + ", otherwise: " + refused + ", connection closed without an answer: " + closedAfterRun
            + " kept ones after the engine ran the request, " + closedBeforeRun + " others");
        bed.note(front.process.isAlive() ? "the front runs, and its readiness check says " + front.ready()
            : "the front ended by itself with status " + front.process.exitValue() + " after " + Math.round(bed.seconds() - start) + " s");
        return closedAfterRun.get() <= 3;
    }

    /**
     * Sends requests on a kept connection; with [newUsers] each is of another user, whose prompt has parts of its own, but for a first one
     * FIRST_S before, which has the prompt of a usual user.
     */
    private static Thread client(Bed bed, Bed.Front front, List<Engine> engines, String name, double from, double forS, double gapS, boolean newUsers) {
        Thread thread = new Thread(() -> {
            Http.Connection connection = null;
            boolean kept = false;
            for (int count = newUsers ? -1 : 0; bed.seconds() < from + forS && front.process.isAlive(); count++) {
                String request = name + "-" + count;
                try {
                    Thread.sleep(Math.max(0, (long) ((from + (count < 0 ? -FIRST_S : count * gapS) - bed.seconds()) * 1_000)));
                    if (bed.seconds() >= from + forS) return;
                    if (connection == null) connection = front.connect(8_000);
                    bed.note("client sends " + request);
                    connection.write("POST /review/" + (name.startsWith("chat") ? "chat" : "2f") + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Almondjunction-Request-Id: " + request
                        + "\r\nX-Almondjunction-Model: m0\r\nX-Almondjunction-Token-Count: " + PARTS * PART_TOKENS + ",52\r\nX-Almondjunction-Prompt-Prefix: "
                        + (name.startsWith("chat") ? "0c5a:198,77e1" + name.substring(5) + ":628" : prefix(newUsers ? (count < 0 ? "user-0" : request) : name)) + "\r\nX-Almondjunction-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody");
                    Http.Message answer = connection.read();
                    if (answer == null) throw new IOException("closed");
                    (answer.status() == 200 ? answered : refused).incrementAndGet();
                    kept = true;
                    bed.note("client gets " + answer.status() + " for " + request);
                } catch (IOException failure) {
                    boolean ran = engines.stream().anyMatch(engine -> engine.runsOf(request) > 0);
                    (ran && kept ? closedAfterRun : closedBeforeRun).incrementAndGet();
                    bed.note("client gets no answer for " + request + ", which " + (ran ? "ran" : "did not run") + ": " + failure.getMessage());
                    if (connection != null) connection.close();
                    connection = null;
                    kept = false;
                } catch (InterruptedException ended) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String prefix(String user) {
        StringBuilder parts = new StringBuilder();
        java.util.Random random = new java.util.Random(user.hashCode());
        for (int part = 0; part < PARTS; part++) {
            parts.append(part == 0 ? "" : ",").append(String.format("%08x", random.nextInt())).append(':').append(PART_TOKENS);
        }
        return parts.toString();
    }
}
