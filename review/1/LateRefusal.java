import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three plain services, each with two engines that are often full. One engine of each sends some of its responses twice, the second copy
 * where the next response on that connection is expected.
 */
final class LateRefusal {
    private static final int GROUPS = 3;
    private static final int CLIENTS = 30;
    private static final double SHARE = 0.03;
    private static final double ON_S = 5;
    private static final double OFF_S = 1;
    private static final int LOAD_S = 80;
    private static final long TICK_MS = 60;

    private static final class DoublingEngine extends Engine {
        final AtomicInteger answers = new AtomicInteger();
        final AtomicInteger copies = new AtomicInteger();
        private final boolean faulty;
        private final ConcurrentHashMap<Http.Connection, byte[]> late = new ConcurrentHashMap<>();

        DoublingEngine(Bed bed, String id, String service, boolean faulty) throws IOException {
            super(bed, id, service);
            this.faulty = faulty;
            workSpreadMs = 38;
        }

        @Override
        boolean answer(Http.Connection connection, Http.Message request) throws Exception {
            byte[] copy = late.remove(connection);
            if (copy != null) {
                String requestId = request.header("X-Almondjunction-Request-Id");
                boolean same = new String(copy).contains("Request-Id: " + requestId + "\r");
                bed.note(id + " sends a second copy where the response to " + requestId + " is expected"
                    + (same ? ": that of its refusal of the same request on this connection" : ""));
                connection.out.write(copy);
                connection.out.flush();
            }
            String head = decide(request);
            byte[] body = bodyOf(head, request);
            connection.write(head, body);
            answers.incrementAndGet();
            boolean on = faulty && bed.seconds() % (ON_S + OFF_S) < ON_S;
            if (on && ThreadLocalRandom.current().nextDouble() < SHARE) {
                byte[] first = head.getBytes();
                byte[] all = Arrays.copyOf(first, first.length + body.length);
                System.arraycopy(body, 0, all, first.length, body.length);
                late.put(connection, all);
                copies.incrementAndGet();
            }
            return true;
        }
    }

    public static void main(String[] arguments) {
        Bed.main(arguments[0], LateRefusal::run);
    }

    private static boolean run(Bed bed) throws Exception {
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        List<DoublingEngine> engines = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) {
            routes.add("{\"name\":\"deposit-" + group + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pay-" + group + "/\",\"routeType\":\"unsafe\","
                + "\"service\":\"booking-" + group + "\",\"timeoutMs\":1200,\"maxAttempts\":1,\"targetLatencyMs\":243,\"priority\":1}");
            services.add("{\"name\":\"booking-" + group + "\",\"maxConns\":110}");
            engines.add(new DoublingEngine(bed, "i-" + group + "-1", "booking-" + group, bed.trouble));
            engines.add(new DoublingEngine(bed, "i-" + group + "-2", "booking-" + group, false));
        }
        bed.store.put("config", "main", "{\"version\":3,\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services)
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        for (DoublingEngine engine : engines) {
            engine.start();
            engine.report("ready");
        }
        List<Bed.Front> fronts = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) fronts.add(bed.startFront("front-" + (group + 1)));
        for (Bed.Front front : fronts) front.awaitReady(20_000);

        ConcurrentHashMap<String, Integer> answered = new ConcurrentHashMap<>();
        CountDownLatch ended = new CountDownLatch(GROUPS * CLIENTS);
        double until = bed.seconds() + LOAD_S;
        for (int client = 0; client < GROUPS * CLIENTS; client++) {
            int number = client;
            Store.daemon(() -> {
                try {
                    load(bed, fronts.get(number % GROUPS), number, until, answered);
                } finally {
                    ended.countDown();
                }
            });
        }
        ended.await();
        Thread.sleep(2_000);
        return judge(bed, engines, answered);
    }

    /** Sends one request after the other on a kept connection, each with an id of its own. */
    private static void load(Bed bed, Bed.Front front, int client, double until, ConcurrentHashMap<String, Integer> answered) throws Exception {
        Http.Connection connection = null;
        for (int count = 0; bed.seconds() < until; count++) {
            String request = String.format("%02x%06x", client, count);
            try {
                if (connection == null) connection = front.connect(5_000);
                bed.note("client sends " + request);
                connection.write("POST /pay-" + client % GROUPS + "/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Almondjunction-Request-Id: " + request
                    + "\r\nX-Almondjunction-Deadline-Ms: 1200\r\nContent-Length: 4\r\n\r\nbody");
                Http.Message answer = connection.read();
                if (answer == null) throw new IOException("closed");
                answered.put(request, answer.status());
                bed.note("client gets " + answer.status() + " for " + request);
                if ("close".equalsIgnoreCase(answer.header("Connection"))) throw new IOException("closed");
            } catch (IOException failure) {
                if (connection != null) connection.close();
                connection = null;
            }
            Thread.sleep(TICK_MS - System.currentTimeMillis() % TICK_MS + ThreadLocalRandom.current().nextInt(30));
        }
    }

    private static boolean judge(Bed bed, List<DoublingEngine> engines, ConcurrentHashMap<String, Integer> answered) {
        int twice = 0;
        int refusedAndRun = 0;
        for (String request : answered.keySet()) {
            int runs = engines.stream().mapToInt(engine -> engine.runsOf(request)).sum();
            int status = answered.get(request);
            if (runs > 1) {
                twice++;
                bed.note("TWICE " + request + " ran " + runs + " times, answered " + status);
            }
            if (runs > 0 && (status == 503 || status == 429)) {
                refusedAndRun++;
                bed.note("REFUSED " + request + " was answered " + status + " and ran " + runs + " times");
            }
        }
        for (DoublingEngine engine : engines) bed.note(engine.id + " gave " + engine.answers + " responses, " + engine.copies + " of them twice");
        java.util.Map<Integer, Long> statuses = answered.values().stream().collect(
            java.util.stream.Collectors.groupingBy(status -> status, java.util.TreeMap::new, java.util.stream.Collectors.counting()));
        bed.note("answers by status: " + statuses + "; TWICE " + twice + ", REFUSED " + refusedAndRun);
        return twice == 0 && refusedAndRun == 0;
    }
}
