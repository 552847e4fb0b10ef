import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Minimal HTTP/1.1 messages on plain streams. */
final class Http {
    private static final int MAX_LINE_BYTES = 65_536;

    private Http() {}

    /** A request or a response. Names of headers are in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Returns the next message, or null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String line = line(in, false);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            line = line(in, false);
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return new Message(first, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body ends after " + body.length + " of " + length + " bytes");
        }
        return new Message(first, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("a chunk is cut off");
            }
            body.write(chunk);
            line(in, false);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ends in a line");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line too long");
            }
        }
    }

    /** Writes a message with a body of known length in one call. */
    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] headBytes = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }
}
