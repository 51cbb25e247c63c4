package brambletray.relay.admission;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.common.yaml.YamlFile;
import brambletray.relay.quota.Member;
import brambletray.relay.quota.Member.Dimension;
import brambletray.relay.quota.Member.Limit;
import brambletray.relay.quota.Member.Match;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the tree of members from YAML and checks it whole: deploy/quotas.yaml has every key. Times of a limit
 * are in seconds, shares are for one second.
 */
public final class QuotaFile {
    /** Members below members, the root counted. */
    static final int DEPTH_MOST = 8;

    private static final int MEMBERS_MOST = 200_000;
    private static final int CHARACTERS_MOST = 32 << 20;
    /** Messages, or bytes, of one limit; a window of a day is the longest. */
    private static final double AMOUNT_MOST = 1e12;

    private static final double WINDOW_S_MOST = 86_400;

    private int members;

    private QuotaFile() {}

    public static Member read(Path path) throws Faults, IOException {
        return parse(path.toString(), java.nio.file.Files.readString(path));
    }

    /** {@code name} stands before each fault. */
    public static Member parse(String name, String text) throws Faults {
        YamlFile.Content content = YamlFile.parse(name, text, null, CHARACTERS_MOST);
        Member root = new QuotaFile().member(content.root(), "", 1);
        content.file().check();
        return root;
    }

    private Member member(Section s, String above, int depth) {
        String name = s.text("name");
        if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,99}")) {
            s.fault("name", "expected letters, digits, '.', '_' and '-', up to 100");
        }
        String path = above.isEmpty() ? name : above + "/" + name;
        if (++members > MEMBERS_MOST) {
            s.fault("name", "expected no more than " + MEMBERS_MOST + " members");
        }
        List<Limit> limits = new ArrayList<>();
        for (Section l : s.sections("limits", false)) {
            limit(l, limits);
        }
        long held = s.has("held") ? whole(s, "held", 1) : Long.MAX_VALUE;
        Section share = s.section("share", false);
        Map<Dimension, Long> guaranteed = new EnumMap<>(Dimension.class);
        for (Dimension dimension : Dimension.values()) {
            String field = field(dimension);
            if (share.has(field)) {
                guaranteed.put(dimension, whole(share, field, 1));
            }
        }
        long guaranteedHeld = share.has("held") ? whole(share, "held", 1) : 0;
        share.done();
        int weight = s.whole("weight", 1, 1, 1_000_000);
        int priority = s.whole("priority", 0, 0, 100);
        boolean lends = s.flag("lends", true);
        Match match = match(s);
        List<Member> below = new ArrayList<>();
        if (s.has("members") && depth == DEPTH_MOST) {
            s.fault("members", "expected no more than " + DEPTH_MOST + " members below one another");
        }
        Set<String> names = new HashSet<>();
        for (Section m : depth == DEPTH_MOST ? List.<Section>of() : s.sections("members", false)) {
            Member member = member(m, path, depth + 1);
            if (!names.add(member.name())) {
                m.fault("name", "expected a name of its own: '" + member.name() + "' stands in " + path + " already");
            }
            below.add(member);
        }
        Member member = new Member(
                name,
                path,
                List.copyOf(limits),
                held,
                guaranteed,
                guaranteedHeld,
                weight,
                priority,
                lends,
                match,
                List.copyOf(below));
        shares(s, member);
        s.done();
        return member;
    }

    private static String field(Dimension dimension) {
        return dimension == Dimension.MESSAGES ? "messages" : "bytes";
    }

    private static long whole(Section s, String field, long absent) {
        double value = s.number(field, absent, 1, AMOUNT_MOST);
        if (value != Math.rint(value)) {
            s.fault(field, "expected a whole number");
        }
        return (long) value;
    }

    private static void limit(Section l, List<Limit> limits) {
        double window = l.number("in_s", 0.1, WINDOW_S_MOST);
        int found = 0;
        for (Dimension dimension : Dimension.values()) {
            if (l.has(field(dimension))) {
                found++;
                long micros = Math.round(window * 1e6);
                if (limits.stream().anyMatch(limit -> limit.dimension() == dimension && limit.window() == micros)) {
                    l.fault("in_s", "expected one limit of " + field(dimension) + " for each window");
                }
                limits.add(new Limit(dimension, micros, whole(l, field(dimension), 1)));
            }
        }
        if (found != 1) {
            l.fault("in_s", "expected messages or bytes beside it, one of them");
        }
        l.done();
    }

    private static Match match(Section s) {
        if (!s.has("match")) {
            return Match.ANY;
        }
        Section m = s.section("match", false);
        List<Long> destinations = new ArrayList<>();
        for (String text : m.texts("destinations", false)) {
            if (text.matches("\\d{1,18}")) {
                destinations.add(Long.parseLong(text));
            } else {
                m.fault("destinations", "expected numbers, not '" + text + "'");
            }
        }
        Match match = new Match(m.text("tenant", null), m.text("class", null), List.copyOf(destinations));
        m.done();
        return match;
    }

    /** Shares that could not all be had at once are a promise that is broken on the first busy day. */
    private static void shares(Section s, Member member) {
        for (Dimension dimension : Dimension.values()) {
            long sum = member.members().stream()
                    .mapToLong(m -> m.guaranteed().getOrDefault(dimension, 0L))
                    .sum();
            long most = member.aSecond(dimension);
            String what = "the shares of " + field(dimension) + " below " + member.path() + " add up to " + sum;
            if (sum > most) {
                s.fault("members", what + " a second: expected no more than its limits bear, " + most);
            }
            Long own = member.guaranteed().get(dimension);
            if (own != null && sum > own) {
                s.fault("members", what + ": expected no more than its own share, " + own);
            }
            if (own != null && own > most) {
                s.fault(
                        "share",
                        "expected no more " + field(dimension) + " than its limits bear in a second, " + most + ", not "
                                + own);
            }
        }
        long held = member.members().stream().mapToLong(Member::guaranteedHeld).sum();
        if (held > member.held()) {
            s.fault(
                    "members",
                    "the shares held below " + member.path() + " add up to " + held + ": expected no more than "
                            + member.held());
        }
    }
}
