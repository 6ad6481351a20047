import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A minimal HTTP/1.1 client over plain sockets, so that a test decides when a connection is opened and closed. */
final class Http implements AutoCloseable {
    /** The status of a call that got no whole answer. */
    static final int NO_ANSWER = 0;

    private final Socket socket = new Socket();
    private final InputStream in;

    /** An answer; the status is {@link #NO_ANSWER} if there was none. */
    record Answer(int status, String body, String headers) {
        boolean isOk() {
            return status >= 200 && status < 300;
        }

        int retryAfterS() {
            int at = headers.indexOf("retry-after:");
            return at < 0 ? 1 : Integer.parseInt(headers.substring(at + 12, headers.indexOf('\r', at)).strip());
        }
    }

    Http(String address, int timeoutMs) throws IOException {
        int colon = address.indexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends one call on a connection of its own. */
    static Answer call(String address, String method, String path, String headers, String body, int timeoutMs) {
        try (Http http = new Http(address, timeoutMs)) {
            return http.send(method, path, headers, body, timeoutMs);
        } catch (IOException e) {
            return new Answer(NO_ANSWER, String.valueOf(e.getMessage()), "");
        }
    }

    /** Sends a call; {@code headers} are whole lines that end with CRLF and hold the host. */
    Answer send(String method, String path, String headers, String body, int timeoutMs) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Type: application/json\r\n"
                + "Content-Length: " + content.length + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.US_ASCII));
        message.write(content);
        socket.setSoTimeout(timeoutMs);
        socket.getOutputStream().write(message.toByteArray());
        socket.getOutputStream().flush();
        return read();
    }

    private Answer read() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after " + head.length() + " bytes of an answer");
            }
            head.append((char) next);
        }
        String lower = head.toString().toLowerCase(Locale.ROOT);
        int status = Integer.parseInt(lower.substring(9, 12));
        int at = lower.indexOf("content-length:");
        int length = at < 0 ? 0 : Integer.parseInt(lower.substring(at + 15, lower.indexOf('\r', at)).strip());
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended in the body of an answer");
        }
        return new Answer(status, new String(body, StandardCharsets.UTF_8), lower);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
