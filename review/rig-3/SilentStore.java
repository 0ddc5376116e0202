import java.util.*;
import java.util.concurrent.*;

/** DRAIN: an engine leaves after the connections to the store have gone silent. */
final class SilentStore {
    static final double CONTACT_MS = 4000, DRAIN_MS = 2500;

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        Store store = new Store(freeAddress(rig));
        Address relayed = freeAddress(rig);
        Relay relay = new Relay(relayed, store.server.address);
        List<PlainEngine> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            PlainEngine engine = new PlainEngine(rig, store, "i-booking" + i, Site.ZONES.get(i), freeAddress(rig), 150);
            engine.register(0);
            engines.add(engine);
        }
        store.put("config", "main", Site.config(3, Site.DEPOSIT + "," + Site.LOOKUP, Site.BOOKING));
        List<Rig.Machine> fronts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String zone = Site.ZONES.get(i);
            Rig.Machine front = rig.new Machine("front-" + zone + "-1", "front", rig.newHost(), zone, relayed, null, null, 7380);
            front.start();
            fronts.add(front);
        }
        rig.awaitReady(fronts);
        Rig.sleep(1500);
        for (int round = 0; round < 5; round++) for (Rig.Machine front : fronts) {
            rig.require(deposit(rig, front, "warm-" + round + "-" + front.zone).startsWith("200"), "a deposit is not served before the trouble");
        }

        // An entry changes, as entries do several times a minute.
        engines.get(1).register(400);
        rig.log("the entry of %s changes", engines.get(1).id);
        Rig.sleep(500);
        double silentMs = rig.ms();
        if (Rig.TROUBLE) rig.log("%d open connections to the store go silent; new ones work", relay.silence());
        rig.sleepUntil(silentMs + 500);
        PlainEngine leaver = engines.get(0);
        leaver.leaving = true;
        store.remove("servers", leaver.id);
        double gone = rig.ms();
        rig.log("the store acknowledges the removal of %s; requests may reach it until %.1f", leaver.id, gone + DRAIN_MS);

        rig.sleepUntil(silentMs + CONTACT_MS + 300);
        rig.log("all fronts are in touch again since %.1f", silentMs + CONTACT_MS);
        ExecutorService pool = Executors.newCachedThreadPool(work -> { Thread t = new Thread(work); t.setDaemon(true); return t; });
        List<Future<String>> answers = new ArrayList<>();
        double askedMs = rig.ms();
        for (Rig.Machine front : fronts) for (int i = 0; i < 6; i++) {
            String id = "late-" + front.zone + "-" + i;
            answers.add(pool.submit(() -> deposit(rig, front, id)));
        }
        rig.sleepUntil(askedMs + 100);
        rig.log("%s exits, %.0f ms after its removal", leaver.id, rig.ms() - gone);
        leaver.exit();
        for (Future<String> answer : answers) answer.get();

        int late = 0;
        for (PlainEngine.Arrival arrival : leaver.arrivals) if (arrival.ms() > gone + DRAIN_MS) {
            late++;
            rig.log("BROKEN: %s reached %s %.0f ms after its removal was acknowledged%s", arrival.id(), leaver.id, arrival.ms() - gone,
                leaver.answered.contains(arrival.id()) ? "" : "; it ran and was never answered");
        }
        rig.log("requests that reached the engine too late: %d", late);
        rig.finish(late > 0 ? 1 : 0);
    }

    private static Address freeAddress(Rig rig) throws Exception {
        String ip = rig.newHost();
        return new Address(ip, Rig.freePort(ip));
    }

    /** Sends one deposit to [front]; returns what became of it. */
    private static String deposit(Rig rig, Rig.Machine front, String id) {
        String result;
        rig.log("client sends %s to %s", id, front.name);
        try {
            Http.Answer answer = Http.call(front.callers, "POST", "/deposit/" + id,
                Map.of("X-Almondjunction-Request-Id", id, "X-Almondjunction-Deadline-Ms", "1200"), "one deposit".getBytes(), 3000);
            result = answer.status + " " + answer.text().trim();
        } catch (Exception failure) { result = failure.toString(); }
        rig.log("client gets for %s: %s", id, result);
        return result;
    }
}
