import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** LIMIT: an order is carried out late, by an engine that has started again under the id that it had. */
final class LateOrder {
    static final int ENGINES = 3, WEIGHTS_MB = 140_000;
    private static final String REVIEW = "{\"name\":\"r-review\",\"host\":\"" + Site.HOST + "\",\"pathPrefix\":\"/review/\",\"routeType\":\"stream\","
        + "\"timeoutMs\":6000,\"targetLatencyMs\":800,\"priority\":2,\"service\":\"wax-advisor\",\"maxAttempts\":1,\"sticky\":true,"
        + "\"resumable\":false,\"gapTargetMs\":400}";
    private static final String CHECK = "{\"name\":\"r-check\",\"host\":\"" + Site.HOST + "\",\"pathPrefix\":\"/check/\",\"routeType\":\"stream\","
        + "\"timeoutMs\":13000,\"targetLatencyMs\":2000,\"priority\":1,\"service\":\"wax-advisor\",\"maxAttempts\":2,\"sticky\":true,"
        + "\"resumable\":true,\"gapTargetMs\":400}";

    public static void main(String[] arguments) throws Exception {
        Site.useLevant();
        Rig rig = new Rig(arguments[0]);
        String storeHost = rig.newHost();
        Store store = new Store(new Address(storeHost, Rig.freePort(storeHost)));
        store.put("config", "main", Site.config(3, REVIEW + "," + CHECK, Site.advisor(ENGINES + 1, WEIGHTS_MB)));
        List<ModelEngine> engines = new ArrayList<>();
        AtomicReference<ModelEngine> late = new AtomicReference<>();
        String rare = "m" + ENGINES;
        for (int i = 0; i < ENGINES; i++) {
            String zone = Site.ZONES.get(i % 3), ip = rig.newHost();
            ModelEngine engine = new ModelEngine(rig, store, i, zone, new Address(ip, Rig.freePort(ip)));
            engine.keepsId = true;
            engine.weightsMb = WEIGHTS_MB;
            engine.start(List.of("m" + i));
            engines.add(engine);
            if (Rig.TROUBLE) engine.lateness = model -> model.equals(rare) && late.compareAndSet(null, engine) ? 9000 : 0;
            Rig.Machine side = rig.new Machine("side-" + zone + "-1", "side", ip, zone, store.server.address, engine.address, "wax-advisor", 7380);
            side.start();
        }
        List<Rig.Machine> fronts = new ArrayList<>();
        for (String zone : Site.ZONES) {
            Rig.Machine front = rig.new Machine("front-" + zone + "-1", "front", rig.newHost(), zone, store.server.address, null, null, 7380);
            front.start();
            fronts.add(front);
        }
        rig.awaitReady(fronts);
        ExecutorService pool = Executors.newCachedThreadPool(work -> { Thread t = new Thread(work); t.setDaemon(true); return t; });
        // Callers of the models m0, m1, ..., five a second each; the last of these falls silent until the engine is back.
        boolean[] wanted = new boolean[ENGINES];
        Arrays.fill(wanted, 0, ENGINES - 1, true);
        AtomicInteger served = new AtomicInteger(), cut = new AtomicInteger();
        for (int i = 0; i < ENGINES; i++) {
            int model = i;
            Http.daemon(() -> {
                for (int n = 0; true; n++) {
                    boolean check = n % 2 == 0;
                    String id = (check ? "check-m" : "review-m") + model + "-" + n;
                    Rig.Machine front = fronts.get((n + model) % 3);
                    if (wanted[model]) pool.submit(() -> ask(rig, front, check ? "/check/" : "/review/", id, model, check ? 13_000 : 6000, served, cut));
                    Rig.sleep(200);
                }
            });
        }
        Rig.sleep(4000);
        rig.log("callers ask for %s, which no engine holds", rare);
        double endMs = rig.ms() + 20_000;
        for (int n = 0; late.get() == null && rig.ms() < endMs; n++) {
            String id = "review-" + rare + "-" + n;
            Rig.Machine front = fronts.get(n % 3);
            pool.submit(() -> ask(rig, front, "/review/", id, ENGINES, 6000, served, cut));
            Rig.sleep(250);
            if (!Rig.TROUBLE && n == 12) break;
        }
        if (Rig.TROUBLE) {
            rig.require(late.get() != null, "no engine was ordered to load the rare model");
            double orderedMs = rig.ms();
            Rig.sleep(300);
            late.get().crash("by itself, for two seconds", 2000);
            Rig.sleep(1000);
            rig.log("the callers of m%d are back", late.get().number);
            wanted[ENGINES - 1] = true;
            wanted[late.get().number] = true;
            rig.sleepUntil(orderedMs + 13_000);
        } else {
            Rig.sleep(3000);
            wanted[ENGINES - 1] = true;
            Rig.sleep(13_000);
        }
        Arrays.fill(wanted, false);
        Rig.sleep(1500);
        rig.require(served.get() >= 30, "fewer than 30 streams were served");
        int broken = 0;
        for (ModelEngine engine : engines) broken += engine.overloads.get();
        rig.log("served: %d, cut: %d; orders to load more than an engine holds: %d", served.get(), cut.get(), broken);
        rig.finish(broken > 0 ? 1 : 0);
    }

    private static void ask(Rig rig, Rig.Machine front, String path, String id, int model, int deadlineMs, AtomicInteger served, AtomicInteger cut) {
        String result;
        try {
            Http.Answer answer = Http.call(front.callers, "POST", path + id, Map.of("X-Almondjunction-Request-Id", id, "X-Almondjunction-Model",
                "m" + model, "X-Almondjunction-Token-Count", "900,48", "X-Almondjunction-Prompt-Prefix", "aa" + model + ":119,bb" + model
                + ":79,cc" + id.hashCode() + ":60", "X-Almondjunction-Deadline-Ms", "" + deadlineMs), "a question".getBytes(), deadlineMs + 1000);
            result = answer.status + (answer.complete ? " complete" : " CUT: its engine crashed") + (answer.status == 200 ? "" : " " + answer.text().trim());
            if (answer.status == 200) (answer.complete ? served : cut).incrementAndGet();
        } catch (Exception failure) { result = failure.toString(); }
        rig.log("client gets for %s: %s", id, result);
    }
}
