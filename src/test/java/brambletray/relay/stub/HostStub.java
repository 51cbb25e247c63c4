package brambletray.relay.stub;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A host whose answers the test gives one by one: each call is handed over with its connection. */
public final class HostStub implements AutoCloseable {
    public static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /** One call as it came. */
    public record Call(Socket socket, List<String> head, String body) {
        public void answer(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        public String header(String name) {
            return head.stream()
                    .filter(h -> h.toLowerCase().startsWith(name.toLowerCase() + ": "))
                    .map(h -> h.substring(name.length() + 2))
                    .findFirst()
                    .orElse(null);
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 50, PlatformStub.LOOPBACK);
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    /** Connections that the relay has closed. */
    private final BlockingQueue<Socket> over = new LinkedBlockingQueue<>();

    public HostStub() throws IOException {
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                start(() -> {
                    try {
                        while (true) {
                            calls.add(read(socket));
                        }
                    } finally {
                        over.add(socket);
                    }
                });
            }
        });
    }

    private static Call read(Socket socket) throws IOException {
        List<String> head = head(socket.getInputStream());
        int length = Integer.parseInt(new Call(socket, head, "").header("Content-Length"));
        return new Call(socket, head, new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8));
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** The next call; null if none comes in a long time. */
    public Call call() throws InterruptedException {
        return calls.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
    }

    /** Waits until the relay has closed the connection of a call; false if it has not in a long time. */
    public boolean ended(Call call) throws InterruptedException {
        for (Socket socket = over.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
                socket != null;
                socket = over.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS)) {
            if (socket == call.socket()) {
                return true;
            }
        }
        return false;
    }

    /** True while the relay has not closed the connection of a call. */
    public boolean open(Call call) {
        return !over.contains(call.socket());
    }

    public boolean quiet() {
        return calls.isEmpty();
    }

    /** Reads lines up to the empty one. */
    public static List<String> head(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        while (!text.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("ended after: " + text);
            }
            text.write(next);
        }
        return text.toString(StandardCharsets.ISO_8859_1)
                .lines()
                .filter(line -> !line.isEmpty())
                .toList();
    }

    private interface Task {
        public void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection or the test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
