import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Client of one machine. Sends one request on a new connection. */
final class Caller {
    /** Outcome of one request: status 0 if the connection ended or the deadline passed without an answer. */
    record Result(int status, byte[] body, boolean complete, boolean sealed, boolean deadlinePassed, long ms, String error) {}

    private Caller() {}

    static Result send(
            String host, int port, String method, String hostName, String path, String id, long deadlineMs, byte[] body) {
        long startNs = System.nanoTime();
        long endNs = startNs + deadlineMs * 1_000_000;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) Math.max(1, deadlineMs));
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Siskintiller-Request-Id: " + id
                    + "\r\nX-Siskintiller-Deadline-Ms: " + deadlineMs + "\r\n";
            if (method.equals("GET")) {
                socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            } else {
                Http.write(socket.getOutputStream(), head, body);
            }
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            long ms = (System.nanoTime() - startNs) / 1_000_000;
            if (answer == null) {
                return new Result(0, new byte[0], false, false, System.nanoTime() >= endNs, ms, "closed");
            }
            boolean sealed = !answer.header("x-siskintiller-response-seal").isEmpty();
            return new Result(
                    answer.status(), answer.body, answer.complete, sealed, System.nanoTime() >= endNs, ms, "");
        } catch (IOException e) {
            long ms = (System.nanoTime() - startNs) / 1_000_000;
            return new Result(0, new byte[0], false, false, System.nanoTime() >= endNs, ms, String.valueOf(e));
        }
    }

    /** Status of GET /ready, or 0 if there is no answer. */
    static int ready(String host, int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 500);
            socket.setSoTimeout(900);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
