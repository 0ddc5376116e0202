import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** A server turns one request away with 503 and a Retry-After of 85 seconds; callers go on asking. */
public class LongWait implements Rig.Case {
    private static final long WAIT_S = 85;

    @Override
    public void run(Rig rig, String[] arguments) throws Exception {
        int keeperPort = Rig.freePort();
        AtomicBoolean refuse = new AtomicBoolean();
        AtomicLong refusedMs = new AtomicLong(-1);
        List<Long> arrivals = new CopyOnWriteArrayList<>();
        AtomicReference<String> refusing = new AtomicReference<>();
        Rig.Work plain = (server, m, s) -> {
            if (rig.trouble && refuse.compareAndSet(true, false)) {
                refusing.set(server.id);
                List<String[]> h = new ArrayList<>();
                h.add(new String[] {Rig.P + "Request-Id", m.get(Rig.P + "Request-Id")});
                h.add(new String[] {Rig.P + "Not-Executed", "1"});
                h.add(new String[] {"Retry-After", "" + WAIT_S});
                server.respond(s, 503, h, new byte[0]);
                refusedMs.set(rig.now());
                rig.log("server " + server.id + " answers 503 with Retry-After: " + WAIT_S);
                return true;
            }
            if (server.id.equals(refusing.get())) {
                arrivals.add(rig.now());
                rig.log("request " + m.get(Rig.P + "Request-Id") + " reaches " + server.id + " " + (rig.now() - refusedMs.get()) + " ms after its 503");
            }
            Rig.sleep(30);
            server.respond(s, 200, server.signed(m), "done".getBytes());
            return true;
        };
        rig.store.put("config", "main", rig.configuration(7));
        Rig.Server e = rig.server("llm", "127.0.0.11", 0, Rig.MODELS, (server, m, s) -> {
            server.stream(s, m, 12, 40);
            return true;
        });
        rig.side("side-0", e.ip, keeperPort, e.address()).start();
        for (int i = 0; i < 3; i++) rig.server("booking", "127.0.0." + (21 + i), 0, new String[0], plain);
        Rig.Front front = rig.front("front-0", "127.0.0.31", keeperPort);
        front.proc.start();
        rig.awaitReady(List.of(front));
        Rig.sleep(5000);
        refuse.set(true);
        long endMs = rig.now() + WAIT_S * 1000 + 2000;
        while (rig.now() < endMs) {
            rig.pool.submit(() -> Rig.send(front.callers, "GET", "/lookup/2f", Rig.headers(Rig.newId(), 1200), null, 1000, 1500));
            Rig.sleep(200);
        }
        long early = arrivals.stream().filter(a -> a > refusedMs.get() + 500 && a < refusedMs.get() + WAIT_S * 1000).count();
        rig.exit(early > 2 ? 1 : 0, early + " requests reached the server from the front between half a second after its 503 and the end of its Retry-After");
    }
}
