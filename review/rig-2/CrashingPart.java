import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Requests with a part that crashes engines come now and then; after the fifth crash all processes of the system are killed once. */
public class CrashingPart implements Rig.Case {
    private static final String PART = "dead00c1";
    private static final long CONTACT_MS = 4000;
    private static final long PAIR_EVERY_MS = 5000;

    record Arrival(long atMs, String engine, String id) {}

    @Override
    public void run(Rig rig, String[] arguments) throws Exception {
        int keeperPort = Rig.freePort();
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        AtomicInteger soundBroken = new AtomicInteger();
        Rig.Work engine = (server, m, s) -> {
            String parts = m.get(Rig.P + "Prompt-Prefix");
            if (parts != null && parts.contains(PART + ":")) {
                arrivals.add(new Arrival(rig.now(), server.ip, m.get(Rig.P + "Request-Id")));
                rig.log("engine at " + server.ip + " gets a request with the part: " + m.get(Rig.P + "Request-Id"));
                Rig.sleep(60);
                crash(rig, server, crashes);
                return false;
            }
            Rig.sleep(30);
            server.stream(s, m, 12, 40);
            return true;
        };
        rig.store.put("config", "main", rig.configuration(7));
        List<Rig.Proc> processes = new ArrayList<>();
        List<Rig.Front> fronts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Rig.Server e = rig.server("llm", "127.0.0." + (11 + i), 0, Rig.MODELS, engine);
            processes.add(rig.side("side-" + i, e.ip, keeperPort, e.address()));
        }
        for (int i = 0; i < 3; i++) {
            Rig.Front f = rig.front("front-" + i, "127.0.0." + (31 + i), keeperPort);
            fronts.add(f);
            processes.add(f.proc);
        }
        for (Rig.Proc p : processes) p.start();
        rig.awaitReady(fronts);
        Rig.sleep(CONTACT_MS);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger sound = new AtomicInteger();
        // Sound requests with the same first part: five a second over all fronts.
        rig.pool.submit(() -> {
            for (int n = 0; !stop.get(); n++) {
                Rig.Front f = fronts.get(n % fronts.size());
                String model = Rig.MODELS[n % Rig.MODELS.length];
                rig.pool.submit(() -> {
                    sound.incrementAndGet();
                    if (!send(rig, f, model, "5c1e07a2:60," + Rig.newId().substring(0, 8) + ":40").startsWith("200")) soundBroken.incrementAndGet();
                });
                Rig.sleep(200);
            }
            return null;
        });
        // Two requests with the part at two fronts, every five seconds, before and after the kill alike; no two alike.
        AtomicInteger pairs = new AtomicInteger();
        Future<?> pairsSent = rig.pool.submit(() -> {
            while (!stop.get()) {
                int n = pairs.getAndIncrement();
                for (int k = 0; k < 2; k++) {
                    Rig.Front f = fronts.get((n + k) % fronts.size());
                    String model = Rig.MODELS[(n + k) % Rig.MODELS.length];
                    rig.pool.submit(() -> {
                        String result = send(rig, f, model, "5c1e07a2:60," + PART + ":50," + Rig.newId().substring(0, 8) + ":40");
                        rig.log("request with the part at " + f.proc.name + ": " + result);
                    });
                }
                Rig.sleep(PAIR_EVERY_MS);
            }
            return null;
        });
        long until = rig.now() + 45_000;
        while (crashes.size() < 5) {
            if (rig.now() > until) rig.exit(2, "only " + crashes.size() + " crashes in 45 s");
            Rig.sleep(20);
        }
        long fifthMs = crashes.get(4);
        rig.log("fifth crash at " + fifthMs + " ms");
        Rig.sleep(7000);
        long startedMs = rig.now();
        if (rig.trouble) {
            rig.log("all processes of the system are killed");
            for (Rig.Proc p : processes) p.process.destroyForcibly();
            for (Rig.Proc p : processes) p.kill();
            Rig.sleep(800);
            startedMs = rig.now();
            for (Rig.Proc p : processes) p.start();
            rig.log("all processes of the system are started again");
        }
        // A machine is in touch contactMs after its start.
        long inTouchMs = Math.max(startedMs + CONTACT_MS, fifthMs + CONTACT_MS);
        long firstMs = fifthMs + CONTACT_MS;
        long endMs = startedMs + 40_000;
        rig.sleepUntil(endMs);
        stop.set(true);
        Rig.sleep(1000);
        int counted = 0;
        for (Arrival a : arrivals) {
            boolean inTouch = a.atMs() >= firstMs && (!rig.trouble || a.atMs() < startedMs - 900 || a.atMs() >= inTouchMs);
            if (inTouch) {
                counted++;
                rig.log("counted: " + a.id() + " at " + a.engine() + ", " + a.atMs() + " ms");
            }
        }
        rig.exit(counted > 3 ? 1 : 0, counted + " requests with the part reached engines later than contactMs after the fifth crash, from fronts in touch; "
            + crashes.size() + " crashes, " + soundBroken.get() + " of " + sound.get() + " sound requests without a success");
    }

    /** The engine ends as it begins to write its answer, and is back three seconds later; its entry lapses. */
    private static synchronized void crash(Rig rig, Rig.Server server, List<Long> crashes) {
        if (server.down) return;
        String old = server.id;
        server.crash();
        crashes.add(rig.now());
        rig.log("engine at " + server.ip + " crashes (" + crashes.size() + ")");
        rig.pool.submit(() -> {
            Rig.sleep(3000);
            server.open();
            rig.log("engine at " + server.ip + " is back");
            Rig.sleep(600);
            rig.store.remove("servers", old);
            return null;
        });
    }

    private static String send(Rig rig, Rig.Front f, String model, String parts) {
        try {
            Rig.Answer a = Rig.send(f.callers, "POST", "/chat/2f", Rig.headers(Rig.newId(), 15000, Rig.P + "Model", model, Rig.P + "Token-Count",
                "150,80", Rig.P + "Prompt-Prefix", parts), "hello".getBytes(), 1000, 15_000);
            return a.status + " " + (a.status == 200 ? "" : new String(a.body).trim());
        } catch (IOException e) {
            return "no complete answer: " + e.getMessage();
        }
    }
}
