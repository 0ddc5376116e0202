import java.util.*;
import java.util.concurrent.*;

/** REFUSED: an engine that has run a deposit answers with a failure of its own, 503 without X-Almondjunction-Not-Executed. */
final class OwnFailure {
    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        Store store = new Store(freeAddress(rig));
        Map<String, Integer> booked = new ConcurrentHashMap<>();
        List<PlainEngine> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            PlainEngine engine = new PlainEngine(rig, store, "i-booking" + i, Site.ZONES.get(i), freeAddress(rig), 40);
            engine.register(0);
            engines.add(engine);
            boolean grey = Rig.TROUBLE && i == 0;
            Random random = new Random(1);
            engine.behaviour = (request, connection, headers) -> {
                String deposit = new String(request.body);
                int times = booked.merge(deposit, 1, Integer::sum);
                boolean fails;
                synchronized (random) { fails = grey && random.nextDouble() < 0.45; }
                rig.log("engine %s has run %s: %s is booked %d time(s); it answers %d", engine.id, request.header("X-Almondjunction-Request-Id"),
                    deposit, times, fails ? 503 : 200);
                if (fails) connection.answer(503, headers, "the payment provider did not confirm"); else connection.answer(200, headers, "booked");
            };
        }
        store.put("config", "main", Site.config(3, Site.DEPOSIT + "," + Site.LOOKUP, Site.BOOKING));
        List<Rig.Machine> fronts = new ArrayList<>();
        for (String zone : Site.ZONES) {
            Rig.Machine front = rig.new Machine("front-" + zone + "-1", "front", rig.newHost(), zone, store.server.address, null, null, 7380);
            front.start();
            fronts.add(front);
        }
        rig.awaitReady(fronts);
        Rig.sleep(1500);
        Set<String> refused = new TreeSet<>();
        for (int n = 0; n < 120; n++) {
            Rig.Machine front = fronts.get(n % 3);
            // A client repeats an unsafe request only after a promise that it has not run and never will, with an id of its own.
            for (int attempt = 1; attempt <= 2; attempt++) {
                String id = "deposit-" + n + "-" + attempt;
                Http.Answer answer = Http.call(front.callers, "POST", "/deposit/" + n, Map.of("X-Almondjunction-Request-Id", id,
                    "X-Almondjunction-Deadline-Ms", "1200"), ("deposit " + n).getBytes(), 3000);
                boolean promise = Set.of(408, 421, 429, 503).contains(answer.status);
                rig.log("client gets for %s: %d %s%s", id, answer.status, answer.text().trim(), promise ? " (a promise that it has not run)" : "");
                if (promise) refused.add(id);
                if (!promise) break;
            }
            Rig.sleep(50);
        }
        rig.require(booked.size() >= 100, "fewer than 100 deposits were booked");
        int broken = 0;
        for (String id : refused) for (PlainEngine engine : engines) if (engine.ran.contains(id)) {
            broken++;
            rig.log("BROKEN: %s was answered with a promise that it has not run, and %s has run it", id, engine.id);
        }
        rig.log("deposits booked twice: %d", booked.values().stream().filter(times -> times > 1).count());
        rig.finish(broken > 0 ? 1 : 0);
    }

    private static Address freeAddress(Rig rig) throws Exception {
        String ip = rig.newHost();
        return new Address(ip, Rig.freePort(ip));
    }
}
