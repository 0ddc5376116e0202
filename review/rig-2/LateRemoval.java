import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A server leaves, and a front goes on sending to it.
 *
 * Argument `reset`: the connections to the store are reset; soon after, an entry changes and another is removed. Argument `silent`: the open
 * connections to the store go silent for good, and an entry becomes `draining` meanwhile.
 */
public class LateRemoval implements Rig.Case {
    private static final long DRAIN_MS = 2500;
    private static final long CONTACT_MS = 4000;

    record Arrival(long atMs, String server, String id) {}

    @Override
    public void run(Rig rig, String[] arguments) throws Exception {
        boolean silent = arguments[0].equals("silent");
        int keeperPort = Rig.freePort();
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        Rig.Work plain = (server, m, s) -> {
            arrivals.add(new Arrival(rig.now(), server.id, m.get(Rig.P + "Request-Id")));
            Rig.sleep(220);
            server.respond(s, 200, server.signed(m), "done".getBytes());
            return true;
        };
        Rig.Work engine = (server, m, s) -> {
            server.stream(s, m, 12, 40);
            return true;
        };
        rig.store.put("config", "main", rig.configuration(7));
        List<Rig.Server> engines = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Rig.Server e = rig.server("llm", "127.0.0." + (11 + i), 0, Rig.MODELS, engine);
            engines.add(e);
            rig.side("side-" + i, e.ip, keeperPort, e.address()).start();
        }
        List<Rig.Server> plains = new ArrayList<>();
        for (int i = 0; i < 3; i++) plains.add(rig.server("booking", "127.0.0." + (21 + i), 0, new String[0], plain));
        List<Rig.Front> fronts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Rig.Front f = rig.front("front-" + i, "127.0.0." + (31 + i), keeperPort);
            f.proc.start();
            fronts.add(f);
        }
        rig.awaitReady(fronts);
        Rig.sleep(CONTACT_MS + 3000);
        Rig.Server goes = plains.get(2);
        final long ackMs;
        final long askMs;
        final long exitMs;
        int broken = 0;
        long t = rig.now();
        if (silent) {
            // An entry changes, as it does several times a second; the front reads the next changes a second later.
            engines.get(0).touch();
            rig.sleepUntil(t + 150);
            if (rig.trouble) {
                rig.store.silence();
                rig.log("the open connections to the store are silent from here on; new ones work");
            }
            t = rig.now();
            rig.sleepUntil(t + 900);
            goes.state = "draining";
            goes.leaving = true;
            ackMs = goes.beat();
            rig.log("server " + goes.id + " reports draining; the store acknowledges it at " + ackMs + " ms");
            askMs = t + CONTACT_MS + 250;
            exitMs = askMs + 350;
        } else {
            if (rig.trouble) {
                rig.store.resetAll();
                rig.log("the connections to the store are reset");
            }
            rig.sleepUntil(t + 1400);
            engines.get(0).touch();
            rig.log("an entry changes");
            rig.sleepUntil(t + 1450);
            goes.leaving = true;
            ackMs = rig.store.remove("servers", goes.id);
            rig.log("the entry of server " + goes.id + " is removed; the store acknowledges it at " + ackMs + " ms");
            askMs = t + CONTACT_MS + 40;
            exitMs = askMs + 350;
        }
        // It serves for drainMs and a little longer, and exits then. No request was sent to the service meanwhile.
        rig.pool.submit(() -> {
            rig.sleepUntil(exitMs);
            goes.crash();
            rig.log("server " + goes.id + " exits");
        });
        rig.sleepUntil(askMs);
        List<Future<String>> asked = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Rig.Front f = fronts.get(i % 2);
            asked.add(rig.pool.submit(() -> deposit(f)));
            Rig.sleep(12);
        }
        for (Future<String> a : asked) rig.log("deposit: " + a.get());
        for (Arrival a : arrivals) {
            if (!a.server().equals(goes.id) || a.atMs() <= ackMs + DRAIN_MS) continue;
            broken++;
            rig.log("request " + a.id() + " reaches " + a.server() + " " + (a.atMs() - ackMs) + " ms after the acknowledgement, at " + a.atMs() + " ms");
        }
        long lost = 0;
        for (Future<String> a : asked) if (!a.get().startsWith("200")) lost++;
        rig.exit(broken > 0 ? 1 : 0, broken + " of 12 requests reached a server that had left more than drainMs before; " + lost + " deposits without a success");
    }

    private static String deposit(Rig.Front f) {
        try {
            Rig.Answer a = Rig.send(f.callers, "POST", "/deposit/2f", Rig.headers(Rig.newId(), 1200), "pay".getBytes(), 1000, 1500);
            return a.status != 200 ? a.status + " " + new String(a.body).trim() : a.status + " from " + a.get(Rig.P + "Response-Stamp");
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }
}
