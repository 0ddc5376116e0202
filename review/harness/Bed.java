import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One run of a case: a store, the project's processes with the commands of the deploy file, a record, and the exit status. */
final class Bed implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final int KEEPER_PORT = 7380;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final Path folder;
    private final long startNs = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final Random random = new Random();
    private final int network = 20 + random.nextInt(100);
    private final int subnetwork = random.nextInt(250);
    private final Map<String, String> changedSettings = new LinkedHashMap<>();
    private int hosts = 1;

    interface Body {
        boolean holds(Bed bed) throws Exception;
    }

    /** Runs a case and ends the process with its exit status. */
    static void main(String caseFolder, Body body) {
        int status = COULD_NOT_RUN;
        try (Bed bed = new Bed(Path.of(caseFolder))) {
            try {
                boolean holds = body.holds(bed);
                bed.note(holds ? "RESULT the rule held" : "RESULT the rule was broken");
                status = holds ? HELD : BROKEN;
            } catch (Exception failure) {
                bed.note("RESULT the case could not run: " + failure);
            }
        } catch (Exception failure) {
            System.err.println("The case could not run: " + failure);
        }
        System.exit(status);
    }

    private Bed(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        folder = Files.createTempDirectory("review");
        store = new Store(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("start, disruption " + (trouble ? "on" : "off"));
    }

    synchronized void note(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
        record.flush();
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Returns a loopback address that no other host of this run has. */
    String newHost() {
        return "127." + network + "." + subnetwork + "." + hosts++;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** A front: its address for clients and for readiness. */
    final class Front {
        final String name;
        final String ip = newHost();
        final int port;
        final int readyPort;
        Process process;

        Front(String name) throws IOException {
            this.name = name;
            port = freePort(ip);
            readyPort = freePort(ip);
        }

        void start() throws IOException {
            process = launch("almondjunction", settings(name, ip, "front", store.portOf(name))
                .replace("[listen]\n", "[listen]\nfrontendAddr = \"" + ip + ":" + port + "\"\nreadyAddr = \"" + ip + ":" + readyPort + "\"\n"), name);
        }

        void awaitReady(long timeoutMs) throws Exception {
            long untilNs = System.nanoTime() + timeoutMs * 1_000_000;
            while (System.nanoTime() < untilNs) {
                if (ready() == 200) {
                    note(name + " is ready");
                    return;
                }
                Thread.sleep(50);
            }
            throw new IllegalStateException(name + " did not become ready");
        }

        /** Returns the status of the readiness check; 0 when there is no answer. */
        int ready() {
            try (Http.Connection connection = Http.Connection.to(ip, readyPort, 1_000)) {
                connection.write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                Http.Message answer = connection.read();
                return answer == null ? 0 : answer.status();
            } catch (IOException failure) {
                return 0;
            }
        }

        Http.Connection connect(int timeoutMs) throws IOException {
            return Http.Connection.to(ip, port, timeoutMs);
        }
    }

    Front startFront(String name) throws Exception {
        Front front = new Front(name);
        front.start();
        return front;
    }

    /** Starts the process beside the engine at [app], on the engine's address. */
    Process startSide(String name, String ip, int app) throws IOException {
        String text = "app = \"" + ip + ":" + app + "\"\n" + settings(name, ip, "side", store.portOf(name));
        return launch("almondjunction-agent", text, name);
    }

    /** Replaces a line of the settings of processes that start from now on. */
    Bed settingsOf(String line, String replacement) {
        changedSettings.put(line, replacement);
        return this;
    }

    private String settings(String name, String ip, String machineClass, int storePort) {
        return "nodeName = \"" + name + "\"\nrole = \"" + machineClass + "\"\nmachineClass = \"" + machineClass + "\"\nip = \"" + ip + "\"\n"
            + "zone = \"split-a\"\nregion = \"dalmacija\"\nportRange = [" + KEEPER_PORT + ", " + (KEEPER_PORT + 15) + "]\nbootstrap = true\n"
            + "heartbeatMs = 1200\n[zones]\nsplit-a = \"dalmacija\"\n[listen]\n"
            + "[limits]\ncpuShare = 0.57\ncores = 1\nmemoryMb = 430\nmaxFds = 4100\n"
            + "[bounds]\ncontactMs = 4000\nackMs = 5000\ndrainMs = 2500\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2500\n"
            + "rollbackSlackMs = 250\nmaxStretchMs = 6000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 58\nrecoveryS = 12\n"
            + "passMs = 250\nrequireFence = true\nleaseMs = 3000\nthawSlackMs = 300\n"
            + "[platform]\naddress = \"127.0.0.1:" + storePort + "\"\nform = \"objects\"\nhistoryS = 20\nvalueBytes = 1048576\n";
    }

    /** Starts a role with the command that the deploy file gives for it. */
    private Process launch(String role, String settings, String name) throws IOException {
        Path file = folder.resolve(name + ".toml");
        for (Map.Entry<String, String> change : changedSettings.entrySet()) settings = settings.replace(change.getKey(), change.getValue());
        Files.writeString(file, settings);
        Matcher matcher = Pattern.compile("\\[roles\\." + Pattern.quote(role) + "\\]\\s+run = \"([^\"]+)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) throw new IllegalStateException("no role " + role);
        ProcessBuilder builder = new ProcessBuilder(matcher.group(1).split(" "));
        builder.environment().put("ALMONDJUNCTION_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note(name + " started");
        return process;
    }

    /** Returns the lines of a process's log that contain [text]. */
    List<String> log(String name, String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(name + ".log"), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    private void endProcesses() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
        }
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Process process : processes) process.waitFor(5, TimeUnit.SECONDS);
        record.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
            }
        } else {
            System.err.println("logs: " + folder);
        }
    }
}
