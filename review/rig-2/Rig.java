import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of the store, servers and clients, and control of the project's own processes, for the cases of the second review. */
public class Rig implements AutoCloseable {
    public static final String P = "X-Almondjunction-";
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    public final Store store;
    public final Path temp;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Proc> procs = new CopyOnWriteArrayList<>();
    public final ExecutorService pool = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });

    public Rig(String folder) throws IOException {
        record = new PrintWriter(new FileWriter(folder + "/record.txt"));
        temp = Files.createTempDirectory("review-2-");
        store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("start; disruption " + (trouble ? "on" : "off"));
    }

    /** A case. */
    public interface Case {
        void run(Rig rig, String[] arguments) throws Exception;
    }

    /** Runs a case: the name of its class, its folder, its arguments. */
    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[1]);
        Thread limit = new Thread(() -> {
            sleep(112_000);
            rig.exit(2, "the case took too long");
        });
        limit.setDaemon(true);
        limit.start();
        try {
            Case it = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
            it.run(rig, Arrays.copyOfRange(args, 2, args.length));
            rig.exit(2, "the case came to no result");
        } catch (Throwable failure) {
            StringWriter trace = new StringWriter();
            failure.printStackTrace(new PrintWriter(trace));
            rig.exit(2, trace.toString());
        }
    }

    public long now() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    public synchronized void log(String text) {
        record.printf(Locale.ROOT, "%8d ms  %s%n", now(), text);
        record.flush();
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public void sleepUntil(long ms) {
        sleep(ms - now());
    }

    @Override
    public synchronized void close() {
        for (Proc p : procs) p.kill();
        try {
            Files.walk(temp).sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            // The folder has been removed already.
        }
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    public void exit(int status, String why) {
        log("exit " + status + ": " + why);
        System.out.println("exit " + status + ": " + why);
        close();
        Runtime.getRuntime().halt(status);
    }

    public static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress("0.0.0.0", 0));
            return s.getLocalPort();
        }
    }

    // ---- the project's own processes

    public static class Proc {
        public final String name;
        final List<String> command;
        final Path settings;
        final File out;
        public volatile Process process;

        Proc(String name, List<String> command, Path settings, File out) {
            this.name = name;
            this.command = command;
            this.settings = settings;
            this.out = out;
        }

        public void start() throws IOException {
            ProcessBuilder b = new ProcessBuilder(command);
            Map<String, String> old = new HashMap<>(b.environment());
            b.environment().clear();
            for (String k : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) if (old.get(k) != null) b.environment().put(k, old.get(k));
            b.environment().put("ALMONDJUNCTION_CONFIG", settings.toString());
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
            process = b.start();
        }

        /** SIGKILL. */
        public void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The command of a role in the deploy file. */
    static List<String> command(String role) throws IOException {
        boolean in = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) in = line.trim().equals("[roles." + role + "]");
            if (in && line.startsWith("run")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(List.of(text.split(" ")));
                String home = System.getProperty("java.home");
                if (words.get(0).equals("java")) words.set(0, home + "/bin/java");
                return words;
            }
        }
        throw new IOException("role not found: " + role);
    }

    public String bounds =
        "seedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 2500\ngraceS = 8\nlossSlackMs = 200\n"
            + "configApplyMs = 2500\nrollbackSlackMs = 250\nmaxStretchMs = 6000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
            + "budgetExtra = 58\nrecoveryS = 12\npassMs = 250\nretryAfterS = 0\nrequireFence = true\nleaseMs = 3000\nthawSlackMs = 300\n"
            + "ceilingWindowS = 5\nceilingOverage = 1.1\n";

    private Proc proc(String role, String name, String settings) throws IOException {
        Path file = temp.resolve(name + ".toml");
        Files.writeString(file, settings);
        Proc p = new Proc(name, command(role), file, temp.resolve(name + ".log").toFile());
        procs.add(p);
        return p;
    }

    private String common(String name, String ip, String zone, String cls, int keeperPort) {
        return "nodeName = \"" + name + "\"\nrole = \"r\"\nmachineClass = \"" + cls + "\"\nserves = [\"" + cls + "\"]\nip = \"" + ip
            + "\"\nzone = \"" + zone + "\"\nregion = \"reg\"\nportRange = [" + keeperPort + "," + (keeperPort + 1) + "]\nseeds = []\n"
            + "bootstrap = true\nfaultCounted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n";
    }

    private String tail() {
        return "[limits]\ncpuShare = 0.57\ncores = 1\nmemoryMb = 430\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\n"
            + "machines = 1\nzones = 0\nregions = 0\n[bounds]\n" + bounds + "[platform]\naddress = \"127.0.0.1:" + store.port
            + "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    }

    public static class Front {
        public Proc proc;
        public InetSocketAddress callers;
        public InetSocketAddress ready;
    }

    public Front front(String name, String ip, int keeperPort) throws IOException {
        Front f = new Front();
        f.callers = new InetSocketAddress(ip, freePort());
        f.ready = new InetSocketAddress(ip, freePort());
        f.proc = proc("almondjunction", name, common(name, ip, "z1", "front", keeperPort) + "[zones]\nz1 = \"reg\"\n[listen]\nfrontendAddr = \""
            + ip + ":" + f.callers.getPort() + "\"\nreadyAddr = \"" + ip + ":" + f.ready.getPort() + "\"\n" + tail());
        return f;
    }

    public Proc side(String name, String ip, int keeperPort, String app) throws IOException {
        return proc("almondjunction-agent", name, common(name, ip, "z1", "side", keeperPort) + "app = \"" + app
            + "\"\nservice = \"llm\"\n[zones]\nz1 = \"reg\"\n[listen]\n" + tail());
    }

    public boolean ready(Front f) {
        try {
            Answer a = send(f.ready, "GET", "/v1/ready", List.of(), null, 500, 500);
            return a.status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until all fronts are ready; ends the case with 2 if they aren't. */
    public void awaitReady(Collection<Front> fronts) {
        long until = now() + 20_000;
        for (Front f : fronts) {
            while (!ready(f)) {
                if (now() > until) exit(2, f.proc.name + " doesn't become ready");
                sleep(50);
            }
            log(f.proc.name + " is ready");
        }
    }

    // ---- HTTP

    public static class Message {
        public String start = "";
        public final List<String[]> headers = new ArrayList<>();
        public byte[] body = new byte[0];

        public String get(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        public long number(String name, long other) {
            String v = get(name);
            return v == null ? other : Long.parseLong(v.trim());
        }

        public String path() {
            return start.split(" ")[1];
        }

        public String method() {
            return start.split(" ")[0];
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) throw new EOFException("end inside a line");
            if (c == '\n') break;
            if (c != '\r') b.write(c);
        }
        return b.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null at the end of the connection. */
    public static Message head(InputStream in) throws IOException {
        Message m = new Message();
        in.mark(1);
        if (in.read() < 0) return null;
        in.reset();
        m.start = line(in);
        while (true) {
            String l = line(in);
            if (l.isEmpty()) return m;
            int colon = l.indexOf(':');
            m.headers.add(new String[] {l.substring(0, colon), l.substring(colon + 1).trim()});
        }
    }

    public static Message request(InputStream in) throws IOException {
        Message m = head(in);
        if (m == null) return null;
        int n = (int) m.number("Content-Length", 0);
        m.body = in.readNBytes(n);
        if (m.body.length < n) throw new EOFException("end inside a body");
        return m;
    }

    public static class Answer extends Message {
        public int status;
        public boolean complete;
        public long tookMs;
    }

    /** Sends one request on a connection of its own and reads the whole answer; a time-out or a reset is an IOException. */
    public static Answer send(InetSocketAddress to, String method, String path, List<String[]> headers, byte[] body, int connectMs, int readMs)
        throws IOException {
        try (Socket s = new Socket()) {
            s.connect(to, connectMs);
            s.setTcpNoDelay(true);
            s.setSoTimeout(readMs);
            return exchange(s, new BufferedInputStream(s.getInputStream()), method, path, headers, body);
        }
    }

    public static void writeRequest(Socket s, String method, String path, List<String[]> headers, byte[] body) throws IOException {
        StringBuilder h = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        for (String[] x : headers) h.append(x[0]).append(": ").append(x[1]).append("\r\n");
        if (body != null) h.append("Content-Length: ").append(body.length).append("\r\n");
        h.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(h.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) all.write(body);
        s.getOutputStream().write(all.toByteArray());
    }

    public static Answer exchange(Socket s, BufferedInputStream in, String method, String path, List<String[]> headers, byte[] body)
        throws IOException {
        long start = System.nanoTime();
        writeRequest(s, method, path, headers, body);
        Message m = head(in);
        if (m == null) throw new EOFException("closed without an answer");
        Answer a = new Answer();
        a.start = m.start;
        a.headers.addAll(m.headers);
        a.status = Integer.parseInt(m.start.split(" ")[1]);
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(a.get("Transfer-Encoding"))) {
            while (true) {
                int n = Integer.parseInt(line(in).trim(), 16);
                byte[] part = in.readNBytes(n);
                if (part.length < n) throw new EOFException("end inside a chunk");
                line(in);
                if (n == 0) break;
                b.write(part);
            }
        } else {
            int n = (int) a.number("Content-Length", 0);
            byte[] part = in.readNBytes(n);
            b.write(part);
            if (part.length < n) throw new EOFException("end inside a body");
        }
        a.body = b.toByteArray();
        a.complete = true;
        a.tookMs = (System.nanoTime() - start) / 1_000_000;
        return a;
    }

    private static final AtomicLong IDS = new AtomicLong(ThreadLocalRandom.current().nextLong(1L << 40));

    public static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    public static List<String[]> headers(String id, long deadlineMs, String... more) {
        List<String[]> h = new ArrayList<>();
        h.add(new String[] {"Host", "bench.example"});
        h.add(new String[] {P + "Request-Id", id});
        h.add(new String[] {P + "Deadline-Ms", "" + deadlineMs});
        for (int i = 0; i < more.length; i += 2) h.add(new String[] {more[i], more[i + 1]});
        return h;
    }

    // ---- the store

    public static class Store {
        private final Rig rig;
        private final ServerSocket server;
        public final int port;
        private final Map<String, TreeMap<String, String>> kinds = new HashMap<>();
        private final List<Object[]> events = new ArrayList<>();
        private long revision = 100;
        private final Set<Socket> all = ConcurrentHashMap.newKeySet();
        private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
        private volatile boolean down;

        Store(Rig rig) throws IOException {
            this.rig = rig;
            server = new ServerSocket();
            server.bind(new InetSocketAddress("127.0.0.1", 0), 200);
            port = server.getLocalPort();
            rig.pool.submit(() -> {
                while (true) {
                    Socket s = server.accept();
                    if (down) {
                        closeQuietly(s);
                        continue;
                    }
                    all.add(s);
                    rig.pool.submit(() -> serve(s));
                }
            });
        }

        private static String object(String name, String spec, long rev) {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + rev + ",\"createRev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":"
                + spec + ",\"status\":null}";
        }

        /** Writes an object; returns when the store has acknowledged it. */
        public synchronized long put(String kind, String name, String spec) {
            kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, spec);
            events.add(new Object[] {++revision, kind, object(name, spec, revision), false});
            notifyAll();
            return rig.now();
        }

        public synchronized long remove(String kind, String name) {
            kinds.get(kind).remove(name);
            events.add(new Object[] {++revision, kind, object(name, "null", revision), true});
            notifyAll();
            return rig.now();
        }

        /** All connections are reset; new ones work. */
        public void resetAll() {
            for (Socket s : all) {
                try {
                    s.setSoLinger(true, 0);
                } catch (IOException e) {
                    // Closed already.
                }
                closeQuietly(s);
            }
        }

        /** While it is down, connections are reset as they come. */
        public void down(boolean now) {
            down = now;
            if (now) resetAll();
        }

        /** Open connections go silent for good; new ones work. */
        public void silence() {
            silent.addAll(all);
        }

        private void serve(Socket s) {
            try {
                s.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Message m = request(in);
                    if (m == null) return;
                    if (silent.contains(s)) continue;
                    sleep(4);
                    String[] pathQuery = m.path().split("\\?", 2);
                    Map<String, String> query = new HashMap<>();
                    if (pathQuery.length > 1) {
                        for (String q : pathQuery[1].split("&")) query.put(q.split("=")[0], q.split("=", 2)[1]);
                    }
                    String kind = pathQuery[0].substring("/v1/objects/".length());
                    String body;
                    int status = 200;
                    if (!m.method().equals("GET") || kind.contains("/")) {
                        status = 404;
                        body = "{}";
                    } else if (query.containsKey("watch")) {
                        body = watch(s, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
                    } else {
                        body = list(kind);
                    }
                    if (silent.contains(s)) continue;
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(bytes);
                    s.getOutputStream().write(out.toByteArray());
                }
            } catch (IOException e) {
                // The caller has gone, or the watch was cut.
            } finally {
                if (!silent.contains(s)) closeQuietly(s);
                all.remove(s);
            }
        }

        private synchronized String list(String kind) {
            StringJoiner items = new StringJoiner(",", "[", "]");
            kinds.getOrDefault(kind, new TreeMap<>()).forEach((n, spec) -> items.add(object(n, spec, revision)));
            return "{\"items\":" + items + ",\"morePages\":false,\"currentRev\":" + revision + "}";
        }

        private synchronized String watch(Socket s, String kind, long from, long waitMs) {
            long until = rig.now() + waitMs;
            while (true) {
                StringJoiner found = new StringJoiner(",", "[", "]");
                int count = 0;
                for (Object[] e : events) {
                    if ((long) e[0] <= from || !e[1].equals(kind)) continue;
                    found.add("{\"removed\":" + e[3] + ",\"object\":" + e[2] + "}");
                    count++;
                }
                long left = until - rig.now();
                if (count > 0 || left <= 0 || s.isClosed()) return "{\"events\":" + found + ",\"currentRev\":" + revision + "}";
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    static void closeQuietly(Closeable c) {
        try {
            c.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    // ---- servers

    /** What a server does with one request that is meant for it. */
    public interface Work {
        /** Returns whether the connection stays open. */
        boolean run(Server server, Message request, Socket connection) throws Exception;
    }

    /** A server of a service: a plain one or a model engine. It keeps what has arrived and run. */
    public class Server {
        public final String service;
        public final String ip;
        public volatile String id;
        public volatile long born;
        public volatile String state = "ready";
        public volatile boolean leaving;
        public volatile boolean down;
        public final String[] models;
        private volatile ServerSocket listener;
        public int port;
        private final AtomicLong sequence = new AtomicLong(1);
        private volatile long orders = 0;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        public final AtomicInteger active = new AtomicInteger();
        private int versionLabel = 1;
        private final Work work;

        Server(String service, String ip, int port, String[] models, Work work) throws IOException {
            this.service = service;
            this.ip = ip;
            this.port = port;
            this.models = models;
            this.work = work;
            open();
        }

        public String address() {
            return ip + ":" + port;
        }

        /** Starts a new incarnation. */
        public final void open() throws IOException {
            ServerSocket l = new ServerSocket();
            l.setReuseAddress(true);
            l.bind(new InetSocketAddress(ip, port), 200);
            port = l.getLocalPort();
            id = "i-" + newId().substring(0, 8);
            born = System.currentTimeMillis();
            state = "ready";
            leaving = false;
            orders = 0;
            listener = l;
            down = false;
            pool.submit(() -> {
                try {
                    while (true) {
                        Socket s = l.accept();
                        connections.add(s);
                        pool.submit(() -> serve(s));
                    }
                } catch (IOException e) {
                    return;
                }
            });
            beat();
        }

        /** Ends at once, as in a crash: all connections are reset. The entry stays until it lapses. */
        public synchronized void crash() {
            if (down) return;
            down = true;
            closeQuietly(listener);
            for (Socket s : connections) reset(s);
            connections.clear();
        }

        public void reset(Socket s) {
            try {
                s.setSoLinger(true, 0);
            } catch (IOException e) {
                // Closed already.
            }
            closeQuietly(s);
        }

        /** Writes its entry into the store. */
        public long beat() {
            return store.put("servers", id, entry());
        }

        /** Its entry changes in more than its sequence. */
        public long touch() {
            versionLabel++;
            return beat();
        }

        private String list() {
            StringJoiner m = new StringJoiner(",", "[", "]");
            for (String x : models) m.add("{\"name\":\"" + x + "\",\"version\":1,\"adapters\":[]}");
            return m.toString();
        }

        private String entry() {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"z1\",\"version\":\"v" + versionLabel + "\",\"slots\":"
                + (models.length > 0 ? 64 : 6) + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,"
                + (models.length > 0 ? "\"stage\":\"colocated\",\"models\":" + list() + "," : "") + "\"born\":" + born + ",\"sequence\":"
                + sequence.incrementAndGet() + "}";
        }

        private void serve(Socket s) {
            try {
                s.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Message m = request(in);
                    if (m == null || down) return;
                    if (m.path().equals("/v1/report")) {
                        respond(s, 200, List.of(), ("{\"stage\":\"colocated\",\"models\":" + list() + ",\"busy\":false,\"sequence\":" + orders
                            + ",\"queued\":0,\"active\":" + active.get() + ",\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":" + born + "}")
                            .getBytes());
                        continue;
                    }
                    if (m.path().equals("/v1/order")) {
                        respond(s, 200, List.of(), "{}".getBytes());
                        continue;
                    }
                    String target = m.get(P + "Target-Instance");
                    if (target != null && !target.equals(id)) {
                        respond(s, 421, List.<String[]>of(new String[] {P + "Instance-Id", id}, new String[] {P + "Not-Executed", "1"},
                            new String[] {P + "Request-Id", m.get(P + "Request-Id")}), new byte[0]);
                        continue;
                    }
                    active.incrementAndGet();
                    try {
                        if (!work.run(this, m, s)) return;
                    } finally {
                        active.decrementAndGet();
                    }
                }
            } catch (Exception e) {
                // The caller has gone, or this server has crashed.
            } finally {
                closeQuietly(s);
                connections.remove(s);
            }
        }

        public List<String[]> signed(Message m) {
            List<String[]> h = new ArrayList<>();
            h.add(new String[] {P + "Request-Id", m.get(P + "Request-Id")});
            h.add(new String[] {P + "Response-Stamp", "st." + id + "." + m.get(P + "Request-Id")});
            if (leaving) h.add(new String[] {"Server-Leaving", "1"});
            return h;
        }

        public void respond(Socket s, int status, List<String[]> headers, byte[] body) throws IOException {
            StringBuilder h = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (String[] x : headers) h.append(x[0]).append(": ").append(x[1]).append("\r\n");
            h.append("Content-Length: ").append(body.length).append("\r\nKeep-Alive: timeout=30\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(h.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            s.getOutputStream().write(out.toByteArray());
        }

        /** A stream of events, in chunks. */
        public void stream(Socket s, Message m, int eventCount, long pauseMs) throws IOException {
            StringBuilder h = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            for (String[] x : signed(m)) h.append(x[0]).append(": ").append(x[1]).append("\r\n");
            s.getOutputStream().write((h + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            long last = m.number("Last-Event-Id", 0);
            for (long i = last + 1; i <= eventCount; i++) {
                String e = "id: " + i + "\ndata: token\n\n";
                s.getOutputStream().write((Integer.toHexString(e.length()) + "\r\n" + e + "\r\n").getBytes());
                sleep(pauseMs);
            }
            s.getOutputStream().write("0\r\n\r\n".getBytes());
        }
    }

    public Server server(String service, String ip, int port, String[] models, Work work) throws IOException {
        return new Server(service, ip, port, models, work);
    }

    // ---- configuration of a small deployment: a service of model engines, a plain one, four routes

    public static final String[] MODELS = {"m0", "m1", "m2"};

    public String configuration(long version) {
        StringJoiner models = new StringJoiner(",", "[", "]");
        for (String m : MODELS) {
            models.add("{\"name\":\"" + m + "\",\"weightsMb\":34300.0,\"loadS\":6.0,\"adapters\":0,\"adapterMb\":40.0,\"warmS\":0.28,\"diskS\":0.4}");
        }
        return "{\"version\":" + version + ",\"routes\":["
            + route("chat", "stream", "llm", 15000, 500, 1, 0, ",\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400") + ","
            + route("prep", "stream", "llm", 17000, 2500, 2, 1, ",\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400") + ","
            + route("deposit", "unsafe", "booking", 1200, 200, 1, 2, "") + "," + route("lookup", "safe", "booking", 1200, 200, 2, 2, "")
            + "],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kvCapacity\":232000,\"kvTokenBytes\":327680,\"linkMbps\":1100000.0,\"models\":" + models
            + ",\"weightsMb\":200000.0,\"adapterSlots\":8,\"loadsPerS\":1.6}},"
            + "{\"name\":\"booking\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private static String route(String name, String type, String service, long timeoutMs, long aimMs, int attempts, int priority, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"bench.example\",\"pathPrefix\":\"/" + name + "/\",\"routeType\":\"" + type + "\",\"timeoutMs\":"
            + timeoutMs + ",\"targetLatencyMs\":" + aimMs + ",\"priority\":" + priority + ",\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
            + more + "}";
    }
}
