import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** ORDER: an engine is killed while it writes a stream that has neither a length nor chunks. */
final class CutStream {
    static final int ENGINES = 6;
    private static final String PREP = "{\"name\":\"r-prep\",\"host\":\"" + Site.HOST + "\",\"pathPrefix\":\"/prep/\",\"routeType\":\"stream\","
        + "\"timeoutMs\":17000,\"targetLatencyMs\":2500,\"priority\":1,\"service\":\"wax-advisor\",\"maxAttempts\":2,\"sticky\":true,"
        + "\"resumable\":true,\"gapTargetMs\":400}";

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        String storeHost = rig.newHost();
        Store store = new Store(new Address(storeHost, Rig.freePort(storeHost)));
        store.put("config", "main", Site.config(3, PREP, Site.advisor(1)));
        List<Process> engines = new ArrayList<>();
        List<Path> outputs = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            String ip = rig.newHost(), zone = Site.ZONES.get(i % 3), id = "i-wax" + i;
            Address address = new Address(ip, Rig.freePort(ip));
            long born = System.currentTimeMillis();
            Path output = rig.file(id + ".log");
            outputs.add(output);
            engines.add(rig.adopt(new ProcessBuilder("java", "-Xmx48m", "-XX:+UseSerialGC", "-cp", "target/review-3", "EngineProcess", ip, "" + address.port(),
                id, "" + born).redirectErrorStream(true).redirectOutput(output.toFile()).start()));
            store.put("servers", id, "{\"service\":\"wax-advisor\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\","
                + "\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,"
                + "\"adapters\":[]}],\"sequence\":1,\"born\":" + born + "}");
            Rig.Machine side = rig.new Machine("side-" + zone + "-" + (1 + i / 3), "side", ip, zone, store.server.address, address, "wax-advisor", 7380);
            side.start();
        }
        List<Rig.Machine> fronts = new ArrayList<>();
        for (String zone : Site.ZONES) {
            Rig.Machine front = rig.new Machine("front-" + zone + "-1", "front", rig.newHost(), zone, store.server.address, null, null, 7380);
            front.start();
            fronts.add(front);
        }
        rig.awaitReady(fronts);
        Rig.sleep(3000);
        ExecutorService pool = Executors.newCachedThreadPool(work -> { Thread t = new Thread(work); t.setDaemon(true); return t; });
        List<Future<Boolean>> whole = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        double startMs = rig.ms();
        for (int n = 0; n < 100; n++) {
            String id = "prep-" + n;
            Rig.Machine front = fronts.get(n % 3);
            String parts = "aa" + n + ":119,bb" + n + ":79,cc" + n + ":60";
            whole.add(pool.submit(() -> {
                Http.Answer answer = Http.call(front.callers, "POST", "/prep/" + id, Map.of("X-Almondjunction-Request-Id", id,
                    "X-Almondjunction-Model", "m0", "X-Almondjunction-Token-Count", "258,52", "X-Almondjunction-Prompt-Prefix", parts,
                    "X-Almondjunction-Deadline-Ms", "17000"), "which wax".getBytes(), 18_000);
                List<String> events = new ArrayList<>();
                for (String line : answer.text().split("\n")) if (line.startsWith("id: ")) events.add(line.substring(4));
                boolean broken = answer.status == 200 && answer.complete && events.size() != EngineProcess.EVENTS;
                rig.log("%sclient gets for %s: %d, %s, events %s", broken ? "BROKEN: " : "", id, answer.status,
                    answer.complete ? "complete" : "cut", events);
                if (answer.complete && !broken) served.incrementAndGet();
                return broken;
            }));
            rig.sleepUntil(startMs + (n + 1) * 50);
            if (n == 50 && Rig.TROUBLE) {
                int busiest = 0;
                for (int i = 1; i < ENGINES; i++) if (unframedRuns(outputs.get(i)) > unframedRuns(outputs.get(busiest))) busiest = i;
                String killed = "i-wax" + busiest;
                rig.log("the process of engine %s is killed (SIGKILL)", killed);
                engines.get(busiest).destroyForcibly();
                Http.daemon(() -> { Rig.sleep(3600); store.remove("servers", killed); });
            }
        }
        int broken = 0;
        for (Future<Boolean> each : whole) if (each.get()) broken++;
        for (int i = 0; i < ENGINES; i++) {
            for (String line : Files.readAllLines(outputs.get(i))) if (!line.contains("written")) rig.log("engine: %s", line);
        }
        rig.require(served.get() >= 50, "fewer than 50 streams were served");
        rig.log("streams that ended as complete before their last piece: %d", broken);
        rig.finish(broken > 0 ? 1 : 0);
    }

    /** The streams without a length that the engine with this output is writing. */
    private static int unframedRuns(Path output) throws java.io.IOException {
        Set<String> running = new HashSet<>();
        for (String line : Files.readAllLines(output)) {
            String[] words = line.split("[ ,]+");
            if (line.contains(" runs ") && line.endsWith("without a length")) running.add(words[2]);
            if (line.contains(" has answered ")) running.remove(words[3]);
        }
        return running.size();
    }
}
