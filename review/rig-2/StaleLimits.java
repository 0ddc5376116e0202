import java.io.*;
import java.net.*;
import java.util.*;

/** The configuration raises `maxBodyBytes`; requests on kept connections that were idle meanwhile are held to the old limit. */
public class StaleLimits implements Rig.Case {
    @Override
    public void run(Rig rig, String[] arguments) throws Exception {
        int keeperPort = Rig.freePort();
        rig.store.put("config", "main", rig.configuration(7).replace("\"maxBodyBytes\":4194304", "\"maxBodyBytes\":65536"));
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
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Socket s = new Socket(front.callers.getAddress(), front.callers.getPort());
            s.setSoTimeout(3000);
            Rig.exchange(s, new BufferedInputStream(s.getInputStream()), "POST", "/deposit/2f", Rig.headers(Rig.newId(), 1200), "pay".getBytes());
            kept.add(s);
        }
        if (rig.trouble) {
            long ack = rig.store.put("config", "main", rig.configuration(9));
            rig.log("version 9 raises maxBodyBytes from 65,536 to 4,194,304; acknowledged at " + ack + " ms");
        }
        Rig.sleep(3500);
        int refused = 0;
        int size = rig.trouble ? 100_000 : 60_000;
        for (Socket s : kept) {
            try {
                Rig.Answer a = Rig.exchange(s, new BufferedInputStream(s.getInputStream()), "POST", "/deposit/2f", Rig.headers(Rig.newId(), 1200),
                    new byte[size]);
                rig.log(size + " bytes on a kept connection: " + a.status);
                if (a.status == 413) refused++;
            } catch (IOException e) {
                rig.log(size + " bytes on a kept connection: " + e);
                refused++;
            }
        }
        Rig.Answer fresh = Rig.send(front.callers, "POST", "/deposit/2f", Rig.headers(Rig.newId(), 1200), new byte[size], 1000, 3000);
        rig.log(size + " bytes on a new connection: " + fresh.status);
        rig.exit(refused > 0 ? 1 : 0, refused + " of 10 requests refused as only the older version does; on a new connection " + fresh.status);
    }
}
