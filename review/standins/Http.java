import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Minimal HTTP/1.1 messages for the stand-ins. */
final class Http {
    private Http() {}

    /** Request or response: first line, headers by lower-case name, body. */
    static final class Message {
        final String firstLine;
        final Map<String, String> headers;
        final byte[] body;
        /** Whether the body has all bytes that its length or its chunks announce. */
        final boolean complete;

        Message(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
            this.firstLine = firstLine;
            this.headers = headers;
            this.body = body;
            this.complete = complete;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String uri() {
            return firstLine.split(" ")[1];
        }
    }

    /** Reads a message, or returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String firstLine = line(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            complete = chunks(in, body);
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            complete = bytes(in, body, length);
        }
        return new Message(firstLine, headers, body.toByteArray(), complete);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body) {
        try {
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                if (!bytes(in, body, size)) {
                    return false;
                }
                line(in);
                if (size == 0) {
                    return true;
                }
            }
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private static boolean bytes(InputStream in, ByteArrayOutputStream body, int length) {
        byte[] buffer = new byte[16 * 1024];
        int left = length;
        try {
            while (left > 0) {
                int count = in.read(buffer, 0, Math.min(left, buffer.length));
                if (count < 0) {
                    return false;
                }
                body.write(buffer, 0, count);
                left -= count;
            }
        } catch (IOException e) {
            return false;
        }
        return true;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
