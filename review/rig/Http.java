import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 over blocking sockets. Header names are lower case. */
final class Http {
    private Http() {}

    /** A request, or an answer. {@code first}: its first line. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String word(int place) {
            return first.split(" ", 3)[place];
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** Reads a whole message; null if the peer closes before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !"".equals(line); line = line(in)) {
            if (line == null) {
                throw new EOFException("the head ends early");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            return new Message(first, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body ends early");
        }
        return new Message(first, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).strip(), 16);
            byte[] part = in.readNBytes(size);
            if (part.length < size) {
                throw new EOFException("a chunk ends early");
            }
            body.write(part);
            line(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(64);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line ends early");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** The bytes of a message; the length is added. */
    static byte[] bytes(String first, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    /** One call on a connection of its own; throws IOException without a whole answer in time. */
    static Message call(
            InetSocketAddress to, int connectMs, int answerMs, String first, Map<String, String> headers, byte[] body)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, connectMs);
            socket.setSoTimeout(answerMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(bytes(first, headers, body));
            Message answer = read(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }
    }

    /** Handles a request on a connection and writes the answer itself; false: the connection ends. */
    interface Handler {
        boolean handle(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /** Serves connections until it is closed, each by a thread of its own. */
    static ServerSocket serve(InetSocketAddress at, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(at, 512);
        Thread acceptor = new Thread(() -> accept(server, handler), "accept " + at);
        acceptor.setDaemon(true);
        acceptor.start();
        return server;
    }

    private static void accept(ServerSocket server, Handler handler) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> converse(socket, handler), "serve");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void converse(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            for (Message request = read(in); request != null; request = read(in)) {
                if (!handler.handle(request, socket)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // the peer is gone, or the stand-in ends
        }
    }
}
