package brambletray.relay.console;

import brambletray.relay.metrics.MessageMetrics;
import brambletray.relay.metrics.MessageMetrics.End;

/** The figures as lines of StatsD: {@code svc.NAME[.CLASS]:VALUE|c} for counts, {@code |g} for gauges. */
public final class Statsd {
    private Statsd() {}

    /** {@code known}, {@code excluded}: hosts in the list, and those of them that get no ordinary traffic. */
    public static String lines(MessageMetrics figures, int known, int excluded) {
        StringBuilder lines = new StringBuilder();
        for (int c = 0; c < figures.classes().size(); c++) {
            String name = figures.classes().get(c);
            line(lines, "served." + name, figures.count(c, End.SERVED), 'c');
            line(lines, "refused." + name, figures.count(c, End.REFUSED), 'c');
            line(lines, "failed." + name, figures.count(c, End.FAILED), 'c');
        }
        line(lines, "attempts", figures.attempts(), 'c');
        line(lines, "in_flight", figures.inFlight(), 'g');
        line(lines, "hosts_known", known, 'g');
        line(lines, "hosts_excluded", excluded, 'g');
        lines.setLength(lines.length() - 1);
        return lines.toString();
    }

    private static void line(StringBuilder lines, String name, long value, char sort) {
        lines.append("svc.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(sort)
                .append('\n');
    }
}
