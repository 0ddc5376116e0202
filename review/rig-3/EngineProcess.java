import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * Stand-in of a model engine as a process of its own, so that it can be killed. It holds one model. It answers every second stream with
 * neither a length nor chunks; such an answer ends with its connection. It writes what it does to its standard output.
 */
final class EngineProcess {
    static final int EVENTS = 13;

    public static void main(String[] arguments) throws Exception {
        String id = arguments[2];
        long born = Long.parseLong(arguments[3]);
        AtomicInteger runs = new AtomicInteger();
        new Http.Server(new Address(arguments[0], Integer.parseInt(arguments[1])), (request, connection) -> {
            Map<String, String> json = Map.of("Content-Type", "application/json");
            String target = request.header("X-Almondjunction-Target-Instance");
            if (request.path().equals("/v1/report")) {
                connection.answer(200, json, "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                    + "\"sequence\":0,\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":" + born + "}");
                return;
            }
            if (request.path().equals("/v1/order")) { connection.answer(409, json, "{}"); return; }
            String requestId = request.header("X-Almondjunction-Request-Id");
            if (target != null && !target.equals(id)) {
                connection.answer(421, Map.of("X-Almondjunction-Request-Id", requestId, "X-Almondjunction-Instance-Id", id), "");
                return;
            }
            String last = request.header("Last-Event-Id");
            int from = last == null ? 1 : Integer.parseInt(last) + 1;
            boolean unframed = runs.getAndIncrement() % 2 == 0;
            System.out.println(id + " runs " + requestId + " from event " + from + (unframed ? ", without a length" : ", in chunks"));
            connection.out.write(("HTTP/1.1 200 OK\r\nX-Almondjunction-Request-Id: " + requestId + "\r\nX-Almondjunction-Response-Stamp: s." + id
                + "." + requestId + "\r\nX-Almondjunction-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + (unframed ? "Connection: close" : "Transfer-Encoding: chunked") + "\r\n\r\n").getBytes());
            for (int event = from; event <= EVENTS; event++) {
                Rig.sleep(100);
                String text = "id: " + event + "\ndata: piece " + event + " of " + EVENTS + "\n\n";
                connection.out.write((unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                System.out.println(id + " has written event " + event + " of " + requestId);
            }
            System.out.println(id + " has answered " + requestId + " whole");
            if (unframed) connection.socket.close(); else connection.out.write("0\r\n\r\n".getBytes());
        });
        Thread.currentThread().join();
    }
}
