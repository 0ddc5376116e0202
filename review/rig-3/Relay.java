import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** Passes connections on to one address; can fall silent on all that are open, while new ones work. */
final class Relay {
    private final Address target;
    private final Set<Pair> open = ConcurrentHashMap.newKeySet();

    private static final class Pair { volatile boolean silent; }

    Relay(Address listen, Address target) throws IOException {
        this.target = target;
        ServerSocket socket = new ServerSocket();
        socket.bind(new InetSocketAddress(listen.ip(), listen.port()), 1024);
        Http.daemon(() -> {
            while (true) {
                try {
                    Socket near = socket.accept();
                    Socket far = new Socket(target.ip(), target.port());
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Pair pair = new Pair();
                    open.add(pair);
                    Http.daemon(() -> pump(pair, near, far));
                    Http.daemon(() -> pump(pair, far, near));
                } catch (IOException e) { Rig.sleep(5); }
            }
        });
    }

    /** From now on, nothing passes on the connections that are open, in either direction; none is reset or closed. */
    int silence() {
        int count = 0;
        for (Pair pair : open) { pair.silent = true; count++; }
        return count;
    }

    private void pump(Pair pair, Socket from, Socket to) {
        byte[] bytes = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(bytes);
                if (pair.silent) { if (count < 0) return; else continue; }
                if (count < 0) break;
                out.write(bytes, 0, count);
            }
        } catch (IOException e) { if (pair.silent) return; }
        open.remove(pair);
        try { from.close(); to.close(); } catch (IOException e) { /* closed already */ }
    }
}
