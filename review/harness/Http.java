import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Http {
    private Http() {}

    /** A request or response: start line, headers by lower-case name, body. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }
    }

    /** A connection with its buffered input. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection to(String ip, int port, int timeoutMs) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            return new Connection(socket);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void write(String head, byte[] body) throws IOException {
            byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[first.length + body.length];
            System.arraycopy(first, 0, all, 0, first.length);
            System.arraycopy(body, 0, all, first.length, body.length);
            out.write(all);
            out.flush();
        }

        /** Returns the next message with its body; null when the peer has closed the connection before its first byte. */
        Message read() throws IOException {
            Message message = readHead();
            if (message == null) return null;
            boolean response = message.start.startsWith("HTTP/");
            if (response && message.status() < 200) return read();
            readBody(message, response);
            return message;
        }

        Message readHead() throws IOException {
            String line = line();
            if (line == null) return null;
            Message message = new Message();
            message.start = line;
            while (true) {
                String header = line();
                if (header == null) throw new EOFException("inside a head");
                if (header.isEmpty()) return message;
                int colon = header.indexOf(':');
                message.headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
            }
        }

        private void readBody(Message message, boolean response) throws IOException {
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                while (true) {
                    int size = Integer.parseInt(required(line()).split(";")[0].trim(), 16);
                    if (size == 0) break;
                    all.write(exactly(size));
                    line();
                }
                line();
                message.body = all.toByteArray();
            } else if (message.header("Content-Length") != null) {
                message.body = exactly(Integer.parseInt(message.header("Content-Length")));
            } else if (response && message.status() != 204) {
                message.body = in.readAllBytes();
            }
        }

        private static String required(String line) throws IOException {
            if (line == null) throw new EOFException("inside a body");
            return line;
        }

        private byte[] exactly(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) throw new EOFException("inside a body");
            return bytes;
        }

        private String line() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (true) {
                int next = in.read();
                if (next < 0) return bytes.size() == 0 ? null : fail();
                if (next == '\n') break;
                bytes.write(next);
            }
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }

        private static String fail() throws IOException {
            throw new EOFException("inside a line");
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // The descriptor is released nevertheless.
            }
        }
    }
}
