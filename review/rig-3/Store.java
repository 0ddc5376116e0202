import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it; values are kept as JSON text. */
final class Store {
    private static final class Item {
        String spec = "null", status = "null";
        long revision, created;
    }

    private record Event(long revision, String kind, String object, boolean removed) { }

    private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    final Http.Server server;

    Store(Address address) throws IOException { server = new Http.Server(address, this::handle); }

    private TreeMap<String, Item> kind(String name) { return kinds.computeIfAbsent(name, k -> new TreeMap<>()); }

    private static String json(String name, Item item) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + item.revision + ",\"createRev\":" + item.created
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + item.spec + ",\"status\":" + item.status + "}";
    }

    /** Creates or replaces an object; its return is the acknowledgement. */
    synchronized void put(String kind, String name, String spec) {
        Item item = kind(kind).get(name);
        if (item != null && item.spec.equals(spec)) return;
        revision++;
        if (item == null) {
            item = new Item();
            item.created = revision;
            kind(kind).put(name, item);
        }
        item.spec = spec;
        item.revision = revision;
        events.add(new Event(revision, kind, json(name, item), false));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Item item = kind(kind).remove(name);
        if (item == null) return;
        revision++;
        item.revision = revision;
        events.add(new Event(revision, kind, json(name, item), true));
        notifyAll();
    }

    private void handle(Http.Request request, Http.Connection connection) throws IOException {
        String[] path = request.path().split("/");
        Map<String, String> headers = Map.of("Content-Type", "application/json", "Store-Era", "1");
        if (path.length < 4) { connection.answer(404, headers, "{}"); return; }
        String kind = path[3], name = path.length > 4 ? path[4] : null;
        if (request.method.equals("GET") && request.query("watch") != null) {
            connection.answer(200, headers, watch(kind, Long.parseLong(request.query("watch")), Long.parseLong(request.query("waitMs"))));
            return;
        }
        int status;
        String body;
        synchronized (this) {
            Item item = name == null ? null : kind(kind).get(name);
            if (request.method.equals("GET") && name == null) {
                StringJoiner items = new StringJoiner(",");
                String after = request.query("after");
                kind(kind).forEach((key, value) -> { if (after == null || key.compareTo(after) > 0) items.add(json(key, value)); });
                status = 200;
                body = "{\"items\":[" + items + "],\"morePages\":false,\"currentRev\":" + revision + "}";
            } else if (request.method.equals("POST")) {
                String text = new String(request.body, StandardCharsets.UTF_8);
                String created = text.split("\"name\":\"", 2)[1].split("\"", 2)[0];
                if (kind(kind).containsKey(created)) {
                    status = 409;
                } else {
                    put(kind, created, specOf(text));
                    status = 201;
                }
                body = json(created, kind(kind).get(created));
            } else if (item == null) {
                status = 404;
                body = "{}";
            } else if (request.method.equals("PUT")) {
                String text = new String(request.body, StandardCharsets.UTF_8);
                String condition = text.contains("\"revision\":") ? text.split("\"revision\":", 2)[1].split("[,}]", 2)[0] : null;
                status = condition != null && Long.parseLong(condition) != item.revision ? 409 : 200;
                if (status == 200) put(kind, name, specOf(text));
                body = json(name, kind(kind).get(name));
            } else {
                status = 200;
                body = json(name, item);
            }
        }
        connection.answer(status, headers, body);
    }

    private static String specOf(String text) {
        String rest = text.substring(text.indexOf("\"spec\":") + 7);
        return rest.substring(0, rest.lastIndexOf('}'));
    }

    private synchronized String watch(String kind, long from, long waitMs) {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            StringJoiner found = new StringJoiner(",");
            for (Event event : events) if (event.revision > from && event.kind.equals(kind)) {
                found.add("{\"removed\":" + event.removed + ",\"object\":" + event.object + "}");
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (found.length() > 0 || leftMs <= 0) return "{\"events\":[" + found + "],\"currentRev\":" + revision + "}";
            try { wait(leftMs); } catch (InterruptedException e) { throw new IllegalStateException(e); }
        }
    }
}
