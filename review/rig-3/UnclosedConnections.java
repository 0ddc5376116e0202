import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * Sends frames that an entry host must refuse to its internal port, one connection each, and counts connections that stay open for
 * five seconds. Arguments: port on 127.0.0.1, number of rounds, milliseconds between the connect and the write. Exits with 1 if a
 * connection stayed open. The entry host and the stand-ins are started by hand, with the settings of examples/voshtara.
 */
final class UnclosedConnections {
    private static final int LIMIT_MS = 5_000;
    private static final byte[][] FRAMES = {{1, 1, 1, 1}, {0x7f, 0, 0, 0}, {0, 0, 0, 4, 1, 2, 3, 4}};

    public static void main(String[] arguments) throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", Integer.parseInt(arguments[0]));
        int rounds = Integer.parseInt(arguments[1]);
        int delayMs = Integer.parseInt(arguments[2]);
        int open = 0;
        for (int round = 0; round < rounds; round++) {
            for (byte[] frame : FRAMES) if (staysOpen(address, frame, delayMs)) open++;
        }
        System.out.println(open + " of " + rounds * FRAMES.length + " connections stayed open for " + LIMIT_MS + " ms");
        System.exit(open == 0 ? 0 : 1);
    }

    private static boolean staysOpen(InetSocketAddress address, byte[] frame, int delayMs) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(address, LIMIT_MS);
            socket.setSoTimeout(LIMIT_MS);
            if (delayMs > 0) Thread.sleep(delayMs);
            socket.getOutputStream().write(frame);
            socket.getInputStream().readAllBytes();
            return false;
        } catch (SocketTimeoutException stillOpen) {
            return true;
        } catch (IOException reset) {
            return false;
        }
    }
}
