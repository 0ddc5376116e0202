import java.io.*;
import java.util.*;

/** A front is cut off from the store for 5.5 s while large versions of the configuration come; the newest drops a route. */
public class GrownHistory implements Rig.Case {
    @Override
    public void run(Rig rig, String[] arguments) throws Exception {
        int keeperPort = Rig.freePort();
        rig.store.put("config", "main", rig.configuration(7));
        for (int i = 0; i < 2; i++) {
            rig.server("booking", "127.0.0." + (21 + i), 0, new String[0], (server, m, s) -> {
                Rig.sleep(30);
                server.respond(s, 200, server.signed(m), "done".getBytes());
                return true;
            });
        }
        Rig.Front front = rig.front("front-0", "127.0.0.31", keeperPort);
        front.proc.start();
        rig.awaitReady(List.of(front));
        Rig.sleep(5000);
        long cut = rig.now();
        if (rig.trouble) rig.store.down(true);
        StringBuilder many = new StringBuilder();
        for (int i = 0; many.length() < 640_000; i++) {
            many.append("{\"name\":\"r").append(i).append("\",\"host\":\"bench.example\",\"pathPrefix\":\"/added").append(i)
                .append("/\",\"routeType\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":200,\"priority\":2,\"service\":\"booking\",\"maxAttempts\":2},");
        }
        long ack = 0;
        for (int v = 0; v < 9; v++) {
            String c = rig.configuration(9 + v).replace("\"routes\":[", "\"routes\":[" + many);
            if (v == 8) c = c.replace("\"pathPrefix\":\"/lookup/\"", "\"pathPrefix\":\"/dropped/\"");
            ack = rig.store.put("config", "main", c);
            Rig.sleep(500);
        }
        rig.log("version 17, of " + many.length() + " bytes, drops the route; acknowledged at " + ack + " ms");
        rig.sleepUntil(cut + 5500);
        if (rig.trouble) rig.store.down(false);
        rig.log("the store is reached again");
        rig.sleepUntil(Math.max(cut + 5500 + 4000, ack + 2500) + 300);
        int old = 0;
        for (int i = 0; i < 40; i++) {
            try {
                Rig.Answer a = Rig.send(front.callers, "GET", "/lookup/2f", Rig.headers(Rig.newId(), 1200), null, 1000, 1500);
                if (a.status == 200) old++;
                rig.log("a request on the dropped route: " + a.status);
            } catch (IOException e) {
                rig.log("a request on the dropped route: " + e);
            }
            Rig.sleep(200);
        }
        rig.exit(old > 0 ? 1 : 0, old + " of 40 requests run on a route that the newest version drops, from contactMs after the cut on");
    }
}
