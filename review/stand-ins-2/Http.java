import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A minimal HTTP/1.1 client over loopback addresses, one connection for each request. */
final class Http {
    /** A status of 0 means that no whole answer came. */
    record Answer(int status, String body) {
        boolean isOk() {
            return status >= 200 && status < 300;
        }
    }

    /** A message as it was read: its first line, its headers in lower case, and its body. */
    record Message(String firstLine, List<String> headers, String body) {
        String header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return headers.stream()
                    .filter(header -> header.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(header -> header.substring(prefix.length()).strip())
                    .findFirst()
                    .orElse("");
        }
    }

    private Http() {}

    static Answer call(String address, String method, String path, String headers, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            int colon = address.indexOf(':');
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String host = headers.contains("Host:") ? "" : "Host: " + address + "\r\n";
            String head = method + " " + path + " HTTP/1.1\r\n" + host + headers
                    + "Content-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\nConnection: close\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(bytes);
            socket.getOutputStream().write(request.toByteArray());
            Message answer = read(socket.getInputStream());
            return answer == null
                    ? new Answer(0, "")
                    : new Answer(Integer.parseInt(answer.firstLine().split(" ")[1]), answer.body());
        } catch (IOException | RuntimeException e) {
            return new Answer(0, "");
        }
    }

    /** Reads one message, or returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        List<String> headers = new ArrayList<>();
        int length = 0;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            headers.add(header);
            if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).strip());
            }
        }
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Message(first, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }
}
