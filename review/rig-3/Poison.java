import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** BUDGET: requests with a part that ends engines, several at a time. */
final class Poison {
    static final int ENGINES = 6;
    static final double CONTACT_MS = 4000;
    static final String PART = "dead0001";
    /** Parts that stand before it in a long prompt. */
    static final int DEPTH = Integer.parseInt(System.getenv().getOrDefault("DEPTH", "64"));
    private final Rig rig;
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<Rig.Machine> fronts = new ArrayList<>();
    private final ExecutorService pool = Executors.newCachedThreadPool(work -> { Thread t = new Thread(work); t.setDaemon(true); return t; });
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean sound = true;

    Poison(Rig rig) { this.rig = rig; }

    public static void main(String[] arguments) throws Exception {
        Poison poison = new Poison(new Rig(arguments[0]));
        if (arguments[1].equals("pulses")) poison.pulses(); else poison.deep();
    }

    private void start() throws Exception {
        String storeHost = rig.newHost();
        Store store = new Store(new Address(storeHost, Rig.freePort(storeHost)));
        store.put("config", "main", Site.config(3, Site.CHAT, Site.advisor(ENGINES)));
        List<Rig.Machine> sides = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            String zone = Site.ZONES.get(i % 3), ip = rig.newHost();
            ModelEngine engine = new ModelEngine(rig, store, i, zone, new Address(ip, Rig.freePort(ip)));
            engine.start(List.of("m" + i));
            if (Rig.TROUBLE) engine.poison = PART;
            engines.add(engine);
            Rig.Machine side = rig.new Machine("side-" + zone + "-" + i, "side", ip, zone, store.server.address, engine.address, "wax-advisor", 7380);
            side.start();
            sides.add(side);
        }
        for (int i = 0; i < 3; i++) {
            String zone = Site.ZONES.get(i);
            Rig.Machine front = rig.new Machine("front-" + zone + "-1", "front", rig.newHost(), zone, store.server.address, null, null, 7380);
            front.start();
            fronts.add(front);
        }
        rig.awaitReady(fronts);
        Rig.sleep(2000);
        // Sound requests for each model, one every 400 ms, at the fronts in turn.
        for (int i = 0; i < ENGINES; i++) {
            int model = i;
            Http.daemon(() -> {
                for (int n = 0; sound; n++) {
                    String id = "sound-m" + model + "-" + n;
                    Rig.Machine front = fronts.get((n + model) % 3);
                    pool.submit(() -> {
                        String result = chat(front, id, model, "aa" + model + ":119,bb" + model + ":79,cc" + id.hashCode() + ":60");
                        if (result.startsWith("200 complete")) {
                            served.incrementAndGet();
                        } else {
                            if (result.startsWith("200")) cut.incrementAndGet();
                            rig.log("client gets for %s: %s", id, result);
                        }
                    });
                    Rig.sleep(400);
                }
            });
        }
        Rig.sleep(4000);
    }

    /** One request with the part for each model, at the same moment, as a batch of one document does; twice. */
    private void pulses() throws Exception {
        start();
        for (int pulse = 1; pulse <= 2; pulse++) {
            rig.log("pulse %d: %d requests with part %s, for %d models", pulse, ENGINES, PART, ENGINES);
            CountDownLatch go = new CountDownLatch(1);
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                int model = i;
                String id = "poison-" + pulse + "-m" + i;
                all.add(pool.submit(() -> {
                    go.await();
                    Rig.sleep(ThreadLocalRandom.current().nextInt(50));
                    String result = chat(fronts.get(model % 3), id, model, "aa" + model + ":119," + PART + ":410,dd" + id.hashCode() + ":90");
                    rig.log("client gets for %s: %s", id, result);
                    return null;
                }));
            }
            Rig.sleep(300);
            go.countDown();
            for (Future<?> each : all) each.get();
            if (pulse == 1) awaitModels();
        }
        judge();
    }

    /** Single requests with the part far behind in a long prompt, one every two seconds. */
    private void deep() throws Exception {
        start();
        for (int n = 0; n < 24; n++) {
            int model = n % ENGINES;
            String id = "poison-" + n;
            StringJoiner parts = new StringJoiner(",");
            for (int part = 0; part < DEPTH; part++) parts.add(Integer.toHexString(0x10000 + n * 256 + part) + ":12");
            if (engines.get(model).held.containsKey("m" + model)) {
                String result = chat(fronts.get(n % 3), id, model, parts + "," + PART + ":410,dd" + id.hashCode() + ":90");
                rig.log("client gets for %s: %s", id, result);
            }
            Rig.sleep(2000);
        }
        judge();
    }

    /** Waits until each engine is back and holds its model again, and all fronts were in touch meanwhile. */
    private void awaitModels() {
        double atLeastMs = rig.ms() + CONTACT_MS + 2000, atMostMs = rig.ms() + 40_000;
        while (rig.ms() < atMostMs) {
            boolean all = true;
            for (int i = 0; i < ENGINES; i++) all &= engines.get(i).up && engines.get(i).held.containsKey("m" + i);
            if (all && rig.ms() > atLeastMs) break;
            Rig.sleep(50);
        }
        Rig.sleep(2500);
    }

    private void judge() {
        sound = false;
        Rig.sleep(1000);
        List<Double> crashes = new ArrayList<>();
        engines.forEach(engine -> crashes.addAll(engine.crashes));
        Collections.sort(crashes);
        rig.log("engines crashed at %s", crashes);
        rig.log("sound streams that were cut: %d", cut.get());
        rig.require(!Rig.TROUBLE || crashes.size() >= 5, "fewer than five engines crashed");
        rig.require(served.get() >= 30, "fewer than 30 sound streams were served");
        int late = 0;
        if (crashes.size() >= 5) for (ModelEngine engine : engines) for (ModelEngine.Arrival arrival : engine.arrivals) {
            if (arrival.poison() && arrival.ms() > crashes.get(4) + CONTACT_MS) {
                late++;
                rig.log("%s reached an engine %.0f ms after the fifth crash", arrival.id(), arrival.ms() - crashes.get(4));
            }
        }
        rig.log("requests with the part that reached engines later than %.0f ms after the fifth crash: %d (3 are allowed)%s", CONTACT_MS, late,
            late > 3 ? " BROKEN" : "");
        rig.finish(late > 3 ? 1 : 0);
    }

    private String chat(Rig.Machine front, String id, int model, String parts) {
        try {
            Http.Answer answer = Http.call(front.callers, "POST", "/chat/" + id, Map.of("X-Almondjunction-Request-Id", id,
                "X-Almondjunction-Model", "m" + model, "X-Almondjunction-Token-Count", "900,48", "X-Almondjunction-Prompt-Prefix", parts,
                "X-Almondjunction-Deadline-Ms", "15000"), "a question".getBytes(), 16_000);
            return answer.status + (answer.complete ? " complete " : " CUT ") + (answer.status == 200 ? "" : answer.text().trim());
        } catch (Exception failure) { return failure.toString(); }
    }
}
