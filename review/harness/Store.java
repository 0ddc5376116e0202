import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: lists and watches of objects, as PROTOCOL.md says. Each host has a port of its own, so it can be cut off. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final String CUT_OFF = "cut off";
    private static final long HISTORY_MS = 20_000;

    private record Change(String kind, String json, long revision, boolean removed, long atMs) {}

    private record Item(String json, long created) {}

    private final Bed bed;
    private final Map<String, TreeMap<String, Item>> objects = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Integer> ports = new HashMap<>();
    private final java.util.Set<String> silentFor = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> cuts = new HashMap<>();
    private long revision = 100;
    private long forgotten = 100;

    Store(Bed bed) {
        this.bed = bed;
    }

    synchronized int portOf(String host) throws IOException {
        Integer known = ports.get(host);
        if (known != null) return known;
        ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        ports.put(host, listener.getLocalPort());
        daemon(() -> {
            while (true) {
                Http.Connection connection = new Http.Connection(listener.accept());
                daemon(() -> serve(host, connection));
            }
        });
        return listener.getLocalPort();
    }

    interface Work {
        void run() throws Exception;
    }

    static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // The peer has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on calls of [host] get no answer, as behind a partition; with false they do again. */
    void cut(String host, boolean silent) {
        if (silent) silentFor.add(host); else silentFor.remove(host);
        bed.note("store: " + host + (silent ? " is cut off" : " is reached again"));
    }

    /** Cuts off the watches of [kind] that are waiting now, once. */
    synchronized void cutWatches(String kind) {
        cuts.merge(kind, 1, Integer::sum);
        bed.note("store: waiting watches of " + kind + " are cut off");
        notifyAll();
    }

    /** Writes an object; the return is the store's acknowledgement. */
    synchronized void put(String kind, String name, String spec) {
        revision++;
        TreeMap<String, Item> all = objects.computeIfAbsent(kind, key -> new TreeMap<>());
        long created = all.containsKey(name) ? all.get(name).created() : revision;
        String json = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"createRev\":" + created
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":{}}";
        all.put(name, new Item(json, created));
        history.add(new Change(kind, json, revision, false, System.currentTimeMillis()));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Item item = objects.get(kind).remove(name);
        revision++;
        history.add(new Change(kind, item.json(), revision, true, System.currentTimeMillis()));
        notifyAll();
    }

    private void serve(String host, Http.Connection connection) throws Exception {
        while (true) {
            Http.Message request = connection.read();
            if (request == null) return;
            while (silentFor.contains(host)) Thread.sleep(20);
            String[] parts = request.target().split("\\?", 2);
            Map<String, String> query = new HashMap<>();
            if (parts.length > 1) for (String pair : parts[1].split("&")) query.put(pair.split("=")[0], pair.split("=", 2)[1]);
            String kind = parts[0].substring("/v1/objects/".length());
            String body = query.containsKey("watch")
                ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")))
                : list(kind, query.get("after"));
            while (silentFor.contains(host)) Thread.sleep(20);
            if (CUT_OFF.equals(body)) {
                connection.close();
                return;
            }
            byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
            if (bytes.length > 1_000_000) bed.note("store: a call of " + host + " for " + kind + " is answered with " + bytes.length + " bytes");
            connection.write("HTTP/1.1 " + (body == null ? "410 Gone" : "200 OK") + "\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length + "\r\n\r\n", bytes);
        }
    }

    private synchronized String list(String kind, String after) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Item> entry : objects.getOrDefault(kind, new TreeMap<>()).entrySet()) {
            if (after != null && entry.getKey().compareTo(after) <= 0) continue;
            if (count == PAGE_ITEMS || (count > 0 && items.length() > 1_000_000)) {
                more = true;
                break;
            }
            items.append(count++ == 0 ? "" : ",").append(entry.getValue().json());
        }
        return "{\"items\":[" + items + "],\"morePages\":" + more + ",\"currentRev\":" + revision + "}";
    }

    private synchronized String watch(String kind, long from, long waitMs) throws InterruptedException {
        int cutsBefore = cuts.getOrDefault(kind, 0);
        long untilMs = System.currentTimeMillis() + waitMs;
        while (true) {
            long nowMs = System.currentTimeMillis();
            while (!history.isEmpty() && history.get(0).atMs() < nowMs - HISTORY_MS) forgotten = history.remove(0).revision();
            if (from < forgotten) return null;
            StringBuilder events = new StringBuilder();
            for (Change change : history) {
                if (!change.kind().equals(kind) || change.revision() <= from) continue;
                events.append(events.length() == 0 ? "" : ",").append("{\"object\":").append(change.json()).append(",\"removed\":")
                    .append(change.removed()).append('}');
            }
            if (events.length() == 0 && cuts.getOrDefault(kind, 0) > cutsBefore) return CUT_OFF;
            if (events.length() > 0 || nowMs >= untilMs) return "{\"events\":[" + events + "],\"currentRev\":" + revision + "}";
            wait(Math.max(1, untilMs - nowMs));
        }
    }
}
