import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** What all cases share: the record, settings, the project's own processes, a small HTTP server and client. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path ROOT = Path.of("").toAbsolutePath();
    private static final double LIMIT_MS = 115_000;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final Path folder;
    private final List<Proc> processes = new CopyOnWriteArrayList<>();
    private final int network;
    private int hosts;

    Rig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review-3-");
        network = 64 + ThreadLocalRandom.current().nextInt(120);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread main = Thread.currentThread();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            log("unexpected: %s", failure);
            if (thread == main) finish(2);
        });
        Http.daemon(() -> { sleep(LIMIT_MS); log("the time limit is reached"); finish(2); });
    }

    /** A file in the temporary folder of this run. */
    Path file(String name) { return folder.resolve(name); }

    /** Ends [process] with this run, too. */
    Process adopt(Process process) { processes.add(new Proc(process, null)); return process; }

    /** Exits with 2 unless [condition] holds. */
    void require(boolean condition, String what) {
        if (condition) return;
        log("the case cannot run: %s", what);
        finish(2);
    }

    /** Milliseconds since the start. */
    double ms() { return (System.nanoTime() - startNs) / 1e6; }

    synchronized void log(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%9.1f ", ms()) + String.format(Locale.ROOT, format, values));
    }

    static void sleep(double ms) {
        try { Thread.sleep((long) Math.max(0, ms)); } catch (InterruptedException e) { throw new IllegalStateException(e); }
    }

    /** Waits until [untilMs] of this record. */
    void sleepUntil(double untilMs) { sleep(untilMs - ms()); }

    /** A loopback address of its own for one machine. */
    String newHost() { hosts++; return "127." + network + "." + (1 + hosts / 200) + "." + (1 + hosts % 200); }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) { return socket.getLocalPort(); }
    }

    /** Ends all processes that were started, and removes their files. */
    @Override public void close() {
        for (Proc each : processes) each.process.destroyForcibly();
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) { /* removed already */ }
    }

    // ---- the project's own processes ----

    static final class Proc {
        final Process process;
        final Path output;
        Proc(Process process, Path output) { this.process = process; this.output = output; }
        void signal(String name) throws Exception { new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor(); }
    }

    /** A machine with the settings of a small deployment (sites/vostara-ops). */
    final class Machine {
        final String name, role, ip, zone;
        final Address callers, ready;
        final Path settings;
        Proc proc;
        int starts;

        Machine(String name, String role, String ip, String zone, Address store, Address app, String appService, int firstPort)
            throws IOException {
            this.name = name; this.role = role; this.ip = ip; this.zone = zone;
            boolean front = role.equals("front");
            callers = front ? new Address(ip, freePort(ip)) : null;
            ready = front ? new Address(ip, freePort(ip)) : null;
            settings = folder.resolve(name + ".toml");
            Files.writeString(settings, "nodeName = \"" + name + "\"\nrole = \"" + (front ? "almondjunction" : "almondjunction-agent")
                + "\"\nmachineClass = \"" + role + "\"\nserves = [\"" + role + "\"]\nip = \"" + ip + "\"\nzone = \"" + zone
                + "\"\nregion = \"" + Site.REGIONS.get(zone) + "\"\nportRange = [" + firstPort + "," + (firstPort + 15)
                + "]\nseeds = []\nbootstrap = true\nfaultCounted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
                + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"]\n"
                + (app == null ? "" : "app = \"" + app + "\"\nservice = \"" + appService + "\"\n")
                + "[zones]\n" + Site.zones() + "[listen]\n"
                + (front ? "frontendAddr = \"" + callers + "\"\nreadyAddr = \"" + ready + "\"\n" : "")
                + "[limits]\ncpuShare = 0.57\ncores = 1\nmemoryMb = 430\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
                + "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
                + "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 2500\ngraceS = 8\n"
                + "lossSlackMs = 200\nconfigApplyMs = 2500\nrollbackSlackMs = 250\nmaxStretchMs = 6000\nretryBudgetRatio = 0.2\n"
                + "budgetWindowS = 10\nbudgetExtra = " + Site.budgetExtra + "\nrecoveryS = 12\npassMs = 250\nretryAfterS = 0\nrequireFence = true\n"
                + "leaseMs = 3000\nthawSlackMs = 300\nceilingWindowS = 5\nceilingOverage = 1.1\n"
                + "[platform]\naddress = \"" + store + "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
                + "valueBytes = 1048576\nttlMinMs = 1000\n");
        }

        /** Starts the program of this machine with the command of the deploy file. */
        void start() throws IOException {
            String section = role.equals("front") ? "[roles.almondjunction]" : "[roles.almondjunction-agent]";
            String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
            String run = deploy.substring(deploy.indexOf(section)).split("run = \"", 2)[1].split("\"", 2)[0];
            Path output = folder.resolve(name + "-" + (++starts) + ".log");
            ProcessBuilder builder = new ProcessBuilder(run.split(" ")).directory(ROOT.toFile());
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("ALMONDJUNCTION_CONFIG", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(output.toFile());
            proc = new Proc(builder.start(), output);
            processes.add(proc);
        }

        boolean isReady() {
            try { return Http.call(ready, "GET", "/v1/ready", Map.of(), null, 1000).status == 200; } catch (IOException e) { return false; }
        }
    }

    /** Waits until all [fronts] are ready; exits with 2 if they are not within 20 s. */
    void awaitReady(List<Machine> fronts) {
        double endMs = ms() + 20_000;
        while (!fronts.stream().allMatch(Machine::isReady)) {
            if (ms() > endMs) { log("not ready"); finish(2); }
            sleep(50);
        }
        log("all fronts are ready");
    }

    /** Ends everything and exits with [status]. */
    void finish(int status) {
        log("exit %d", status);
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) for (Proc each : processes) if (each.output != null) {
            try { Files.copy(each.output, Path.of(keep).resolve(each.output.getFileName()), StandardCopyOption.REPLACE_EXISTING); }
            catch (IOException e) { System.err.println(e); }
        }
        close();
        Runtime.getRuntime().halt(status);
    }
}

record Address(String ip, int port) {
    @Override public String toString() { return ip + ":" + port; }
}

/** Names of the small site. */
final class Site {
    static Map<String, String> REGIONS = Map.of("split-a", "dalmacija", "delnice-a", "gorski", "osijek-a", "slavonija");
    static List<String> ZONES = List.of("split-a", "delnice-a", "osijek-a");
    static int budgetExtra = 58;
    /** From now on, sites/lsea-swap in place of sites/vostara-ops. */
    static void useLevant() {
        REGIONS = Map.of("amman-a", "amman", "irbid-a", "irbid", "aqaba-a", "aqaba");
        ZONES = List.of("amman-a", "irbid-a", "aqaba-a");
        budgetExtra = 54;
    }
    static String zones() {
        StringBuilder lines = new StringBuilder();
        ZONES.forEach(zone -> lines.append(zone).append(" = \"").append(REGIONS.get(zone)).append("\"\n"));
        return lines.toString();
    }
    static final String HOST = "bench.example";
    static String config(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
    static final String DEPOSIT = "{\"name\":\"r-deposit\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/deposit/\",\"routeType\":\"unsafe\","
        + "\"timeoutMs\":1200,\"targetLatencyMs\":243,\"priority\":2,\"service\":\"bench-booking\",\"maxAttempts\":1}";
    static final String LOOKUP = "{\"name\":\"r-lookup\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/lookup/\",\"routeType\":\"safe\","
        + "\"timeoutMs\":1200,\"targetLatencyMs\":243,\"priority\":2,\"service\":\"bench-booking\",\"maxAttempts\":2}";
    static final String BOOKING = "{\"name\":\"bench-booking\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}";
    static final String CHAT = "{\"name\":\"r-chat\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/chat/\",\"routeType\":\"stream\","
        + "\"timeoutMs\":15000,\"targetLatencyMs\":500,\"priority\":0,\"service\":\"wax-advisor\",\"maxAttempts\":1,\"sticky\":true,"
        + "\"resumable\":false,\"gapTargetMs\":400}";
    static String advisor(int models) { return advisor(models, 200_000); }
    static String advisor(int models, int weightsMb) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < models; i++) {
            list.append(i == 0 ? "" : ",").append("{\"name\":\"m").append(i).append("\",\"weightsMb\":72700.0,\"loadS\":6.0,\"adapters\":0,"
                + "\"adapterMb\":66.0,\"warmS\":0.4,\"diskS\":0.84}");
        }
        return "{\"name\":\"wax-advisor\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
            + "\"slots\":64,\"kvCapacity\":232000,\"weightsMb\":" + weightsMb + ".0,\"adapterSlots\":8,\"hostMb\":130000.0,\"diskMb\":730000.0,"
            + "\"models\":[" + list + "]}}";
    }
}

/** HTTP/1.1 as far as the stand-ins need it. */
final class Http {
    static final class Request {
        String method, target;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }
        String path() { return target.split("\\?", 2)[0]; }
        String query(String name) {
            String[] parts = target.split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
            return null;
        }
    }

    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;
        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    interface Handler { void handle(Request request, Connection connection) throws IOException; }

    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }
        void answer(int status, Map<String, String> headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            out.write(all.toByteArray());
            out.flush();
        }
        void reset() {
            try { socket.setSoLinger(true, 0); socket.close(); } catch (IOException e) { /* closed already */ }
        }
    }

    /** A server with a thread for each connection. */
    static final class Server implements AutoCloseable {
        final Address address;
        private final ServerSocket socket;
        final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        volatile boolean closed;

        Server(Address address, Handler handler) throws IOException {
            this.address = address;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(address.ip(), address.port()), 1024);
            daemon(() -> {
                while (!closed) {
                    try {
                        Socket accepted = socket.accept();
                        accepted.setTcpNoDelay(true);
                        Connection connection = new Connection(accepted);
                        connections.add(connection);
                        daemon(() -> serve(connection, handler));
                    } catch (IOException e) { if (!closed) sleepQuietly(); }
                }
            });
        }

        private void serve(Connection connection, Handler handler) {
            try {
                while (true) {
                    Request request = readRequest(connection.in);
                    if (request == null) break;
                    handler.handle(request, connection);
                }
            } catch (IOException e) { /* the peer has gone */
            } finally {
                connections.remove(connection);
                try { connection.socket.close(); } catch (IOException e) { /* closed already */ }
            }
        }

        /** Ends like a process that is killed: all connections are reset. */
        @Override public void close() {
            closed = true;
            try { socket.close(); } catch (IOException e) { /* closed already */ }
            connections.forEach(Connection::reset);
        }
    }

    static void sleepQuietly() { Rig.sleep(5); }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') break;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static boolean headers(InputStream in, Map<String, String> headers) throws IOException {
        while (true) {
            String line = line(in);
            if (line == null) return false;
            if (line.isEmpty()) return true;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Request request = new Request();
        String[] parts = first.split(" ");
        request.method = parts[0];
        request.target = parts[1];
        if (!headers(in, request.headers)) return null;
        if (request.header("Content-Length") != null) {
            int length = Integer.parseInt(request.header("Content-Length"));
            request.body = in.readNBytes(length);
            if (request.body.length < length) return null;
        }
        return request;
    }

    /** Makes one request on a connection of its own. */
    static Answer call(Address address, String method, String target, Map<String, String> headers, byte[] body, int timeoutMs)
        throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.ip(), address.port()), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nConnection: close\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) all.write(body);
            socket.getOutputStream().write(all.toByteArray());
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static Answer readAnswer(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) throw new EOFException("no answer");
        Answer answer = new Answer();
        answer.status = Integer.parseInt(first.split(" ")[1]);
        if (!headers(in, answer.headers)) throw new EOFException("half a head");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equals(answer.header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) break;
                    int length = Integer.parseInt(size.trim(), 16);
                    byte[] chunk = in.readNBytes(length);
                    body.write(chunk);
                    if (chunk.length < length || line(in) == null) break;
                    if (length == 0) { answer.complete = true; break; }
                }
            } else if (answer.header("Content-Length") != null) {
                int length = Integer.parseInt(answer.header("Content-Length"));
                body.write(in.readNBytes(length));
                answer.complete = body.size() == length;
            }
        } catch (IOException e) { /* incomplete */ }
        answer.body = body.toByteArray();
        return answer;
    }
}
