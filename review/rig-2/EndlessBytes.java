import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A server answers with bytes without end, and other clients of the same front wait.
 *
 * Argument `stream`: one answer of a model engine to a stream, without length. Argument `chunks`: three answers of the plain service, in
 * chunks of one byte.
 */
public class EndlessBytes implements Rig.Case {
    private static final long TIMEOUT_MS = 1200;
    private static final long DEADLINE_MS = 2000;

    static final class Sent {
        final String kind;
        final long atMs;
        volatile long answeredMs = -1;
        volatile int status;

        Sent(String kind, long atMs) {
            this.kind = kind;
            this.atMs = atMs;
        }
    }

    @Override
    public void run(Rig rig, String[] arguments) throws Exception {
        boolean stream = arguments[0].equals("stream");
        int keeperPort = Rig.freePort();
        AtomicBoolean spoilStream = new AtomicBoolean();
        AtomicBoolean spoilPlain = new AtomicBoolean();
        byte[] lines = "<html><body>core dumped</body></html>\r\n\r\n".repeat(4000).getBytes(StandardCharsets.ISO_8859_1);
        byte[] chunks = "1\r\nx\r\n".repeat(30_000).getBytes(StandardCharsets.ISO_8859_1);
        Rig.Work engine = (server, m, s) -> {
            if (rig.trouble && spoilStream.compareAndSet(true, false)) endless(rig, server, m, s, "Content-Type: text/event-stream", lines);
            server.stream(s, m, 20, 40);
            return true;
        };
        Rig.Work plain = (server, m, s) -> {
            if (rig.trouble && m.method().equals("POST") && spoilPlain.compareAndSet(true, false)) {
                endless(rig, server, m, s, "Transfer-Encoding: chunked", chunks);
            }
            Rig.sleep(30);
            server.respond(s, 200, server.signed(m), "done".getBytes());
            return true;
        };
        rig.store.put("config", "main", rig.configuration(7));
        for (int i = 0; i < 2; i++) {
            Rig.Server e = rig.server("llm", "127.0.0." + (11 + i), 0, Rig.MODELS, engine);
            rig.side("side-" + i, e.ip, keeperPort, e.address()).start();
        }
        for (int i = 0; i < 3; i++) rig.server("booking", "127.0.0." + (21 + i), 0, new String[0], plain);
        List<Rig.Front> fronts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Rig.Front f = rig.front("front-" + i, "127.0.0." + (31 + i), keeperPort);
            f.proc.start();
            fronts.add(f);
        }
        rig.awaitReady(fronts);
        Rig.sleep(5000);
        Rig.Front front = fronts.get(0);
        AtomicBoolean stop = new AtomicBoolean();
        List<Sent> sent = callers(rig, front, stop);
        List<Long> missed = questions(rig, front, stop);
        Rig.sleep(3000);
        if (stream) {
            spoilStream.set(true);
            rig.log("the client of the stream: " + rig.pool.submit(() -> readStream(rig, front)).get(30, TimeUnit.SECONDS));
        } else {
            for (int i = 0; i < 3; i++) {
                spoilPlain.set(true);
                Rig.sleep(5000);
            }
        }
        Rig.sleep(4000);
        stop.set(true);
        Rig.sleep(DEADLINE_MS + 500);
        int late = 0;
        int unanswered = 0;
        for (Sent x : sent) {
            long took = x.answeredMs < 0 ? Long.MAX_VALUE : x.answeredMs - x.atMs;
            rig.log(x.kind + " sent at " + x.atMs + " ms: " + (x.answeredMs < 0 ? "no answer within " + DEADLINE_MS + " ms" : x.status + " after " + took + " ms"));
            if (took > TIMEOUT_MS) late++;
            if (took > TIMEOUT_MS + 500) unanswered++;
        }
        for (long at : missed) rig.log("the platform's question at " + at + " ms got no 200");
        rig.log("the front's process runs: " + front.proc.process.isAlive());
        boolean broken = unanswered > 3 && unanswered * 2 > late;
        rig.exit(broken ? 1 : 0, late + " of " + sent.size() + " requests unanswered at their route's timeoutMs, " + unanswered
            + " of them without an answer half a second later; " + missed.size() + " questions of the platform without a 200");
    }

    private static void endless(Rig rig, Rig.Server server, Rig.Message m, Socket s, String header, byte[] block) throws IOException {
        rig.log("server " + server.id + " answers " + m.get(Rig.P + "Request-Id") + " without end");
        StringBuilder h = new StringBuilder("HTTP/1.1 200 OK\r\n" + header + "\r\n");
        for (String[] x : server.signed(m)) h.append(x[0]).append(": ").append(x[1]).append("\r\n");
        OutputStream out = s.getOutputStream();
        out.write((h + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        long bytes = 0;
        try {
            while (true) {
                out.write(block);
                bytes += block.length;
            }
        } finally {
            rig.log("the front has closed the endless answer after " + bytes + " bytes");
        }
    }

    /** Ordinary callers of the plain service: four a second, each waits until its deadline. */
    private static List<Sent> callers(Rig rig, Rig.Front front, AtomicBoolean stop) {
        List<Sent> sent = new CopyOnWriteArrayList<>();
        rig.pool.submit(() -> {
            for (int n = 0; !stop.get(); n++) {
                boolean safe = n % 2 == 0;
                Sent x = new Sent(safe ? "lookup" : "deposit", rig.now());
                sent.add(x);
                rig.pool.submit(() -> call(rig, front, x, safe));
                Rig.sleep(250);
            }
            return null;
        });
        return sent;
    }

    private static void call(Rig rig, Rig.Front front, Sent x, boolean safe) {
        try {
            List<String[]> h = Rig.headers(Rig.newId(), DEADLINE_MS);
            Rig.Answer a = Rig.send(front.callers, safe ? "GET" : "POST", safe ? "/lookup/2f" : "/deposit/2f", h, safe ? null : "pay".getBytes(),
                1000, (int) DEADLINE_MS);
            x.status = a.status;
            x.answeredMs = rig.now();
        } catch (IOException e) {
            // No answer.
        }
    }

    /** The platform's questions, once a second; returns the times of those without a 200. */
    private static List<Long> questions(Rig rig, Rig.Front front, AtomicBoolean stop) {
        List<Long> missed = new CopyOnWriteArrayList<>();
        rig.pool.submit(() -> {
            while (!stop.get()) {
                long at = rig.now();
                if (!rig.ready(front)) missed.add(at);
                Rig.sleep(at + 1000 - rig.now());
            }
            return null;
        });
        return missed;
    }

    /** Reads a stream; leaves after ten seconds without an event, four times the objective of its route. */
    private static String readStream(Rig rig, Rig.Front front) throws IOException {
        long until = rig.now() + 10_000;
        try (Socket s = new Socket()) {
            s.connect(front.callers, 1000);
            s.setSoTimeout(10_000);
            Rig.writeRequest(s, "POST", "/prep/2f", Rig.headers(Rig.newId(), 17000, Rig.P + "Model", "m0", Rig.P + "Token-Count", "100,80",
                Rig.P + "Prompt-Prefix", "5c1e07a2:60,91bd3f06:40"), "hello".getBytes());
            byte[] buffer = new byte[1 << 20];
            long total = 0;
            while (rig.now() < until) {
                int n = s.getInputStream().read(buffer);
                if (n < 0) return "closed by the front, " + total + " bytes";
                total += n;
                if (total < 5000 && new String(buffer, 0, n).contains("0\r\n\r\n")) return "complete, " + total + " bytes";
            }
            return "left after ten seconds without an event, " + total + " bytes";
        }
    }
}
