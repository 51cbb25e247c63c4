package brambletray.platform.controlplane;

import java.util.HashMap;
import java.util.Map;

/** Routes calls by method, then path segment by segment. A segment {@code *} matches any one, which is handed on. */
final class CallRouter<H> {
    private final Map<String, Node<H>> methods = new HashMap<>();

    /** What was found, and what a {@code *} stood for (null if there was none). */
    record Match<H>(H handler, String wildcard) {}

    private static final class Node<H> {
        private final Map<String, Node<H>> children = new HashMap<>();
        private H handler;
    }

    /** {@code path}: begins with a slash. Returns this. */
    CallRouter<H> route(String method, String path, H handler) {
        Node<H> node = methods.computeIfAbsent(method, m -> new Node<>());
        for (String segment : path.substring(1).split("/")) {
            node = node.children.computeIfAbsent(segment, s -> new Node<>());
        }
        node.handler = handler;
        return this;
    }

    /** Null: nothing there. {@code path} without its query. */
    Match<H> find(String method, String path) {
        Node<H> node = methods.get(method);
        String wildcard = null;
        int from = 1;
        while (node != null && from <= path.length()) {
            int slash = path.indexOf('/', from);
            String segment = path.substring(from, slash < 0 ? path.length() : slash);
            Node<H> next = node.children.get(segment);
            if (next == null) {
                next = node.children.get("*");
                wildcard = segment;
            }
            node = next;
            from = slash < 0 ? path.length() + 1 : slash + 1;
        }
        return node == null || node.handler == null ? null : new Match<>(node.handler, wildcard);
    }
}
