import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server, one thread a connection, that ends like a process that crashes: its connections are reset. */
final class HttpPort implements AutoCloseable {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** A call with its whole body. */
    record Call(String path, String headers, String body) {
        /** A header's value, or an empty text. */
        String header(String name) {
            int at = headers.toLowerCase(Locale.ROOT).indexOf("\r\n" + name.toLowerCase(Locale.ROOT) + ":");
            if (at < 0) {
                return "";
            }
            int from = at + 3 + name.length();
            return headers.substring(from, headers.indexOf("\r\n", from)).strip();
        }
    }

    /** An answer. */
    record Reply(int status, String body) {}

    /** Answers a call; null leaves it without an answer and ends the connection's use. */
    @FunctionalInterface
    interface Handler {
        Reply handle(Call call);
    }

    HttpPort(String host, int port, Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 128);
        daemon(this::accept);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (!closed) {
                Call call = read(in);
                if (call == null) {
                    return;
                }
                Reply reply = handler.handle(call);
                if (reply == null || closed) {
                    return;
                }
                byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + reply.status() + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n";
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.write(head.getBytes(StandardCharsets.US_ASCII));
                message.write(body);
                socket.getOutputStream().write(message.toByteArray());
                socket.getOutputStream().flush();
            }
        } catch (IOException e) {
            // The caller has left.
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    private static Call read(BufferedInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        String text = head.toString();
        String lower = text.toLowerCase(Locale.ROOT);
        int at = lower.indexOf("\r\ncontent-length:");
        int length = at < 0 ? 0 : Integer.parseInt(lower.substring(at + 17, lower.indexOf("\r\n", at + 17)).strip());
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return null;
        }
        String path = text.split(" ", 3)[1];
        return new Call(path, text, new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // Nothing listens any more.
        }
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }
}
