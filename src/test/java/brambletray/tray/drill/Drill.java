package brambletray.tray.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plays courses one after the other, and shrinks those that break. Properties, of the test and of this class's own
 * main: {@code drill.seeds},
 * {@code drill.first}: how many courses, and from which seed on; {@code drill.members}: 3 or 5, else both;
 * {@code drill.shrink}: how many of
 * the broken are shrunk; {@code drill.enough}: ends after so many; {@code drill.script}: plays this one, as a failure
 * prints it, with all log
 * lines; {@code drill.course}: the same without its seed, members/losses/end/troubles, played by each seed.
 */
public final class Drill {
    /** Courses after which the count so far is printed. */
    private static final int OFTEN = 100;

    private Drill() {}

    /** Exit code 1: a rule was broken. */
    public static void main(String[] args) {
        System.exit(broken(Integer.getInteger("drill.seeds", 100)).isEmpty() ? 0 : 1);
    }

    /**
     * What was broken, with its shortest script; {@code usual}: courses for each count of members where no property
     * says otherwise.
     */
    static List<String> broken(int usual) {
        String one = System.getProperty("drill.script");
        if (one != null) {
            Course.Result result = Course.play(Script.parse(one), System.out::println);
            System.out.println(result);
            return result.broken() == null ? List.of() : List.of(result.broken());
        }
        int only = Integer.getInteger("drill.members", 0);
        List<String> broken = new ArrayList<>();
        for (int members : only == 0 ? new int[] {3, 5} : new int[] {only}) {
            play(members, Long.getLong("drill.first", 1), Integer.getInteger("drill.seeds", usual), broken);
        }
        return broken;
    }

    private static void play(int members, long first, int seeds, List<String> broken) {
        String course = System.getProperty("drill.course");
        Count count = new Count();
        int most = Integer.getInteger("drill.shrink", 5);
        int enough = Integer.getInteger("drill.enough", Integer.MAX_VALUE);
        for (long seed = first; seed < first + seeds && broken.size() < enough; seed++) {
            Course.Result result =
                    Course.play(course == null ? Script.draw(seed, members) : Script.parse(seed + "/" + course), null);
            count.add(result);
            if (!result.faults().isEmpty()) {
                System.out.println("drill: seed " + seed + " with " + members + ", faults told: " + result.faults());
            }
            if (result.broken() != null) {
                String told = "seed " + seed + " with " + members + ": " + result.broken();
                if (broken.size() < most) {
                    Course.Result least = Shrinker.shrink(result);
                    told += "\n  shrunk: -Ddrill.script=" + least.script() + "\n  " + least.broken();
                }
                broken.add(told);
                System.out.println(told);
            }
            if (count.played % OFTEN == 0) {
                System.out.println("so far " + count.line(members, first));
            }
        }
        System.out.println(count.line(members, first));
    }

    /** What was played, and how it went. */
    private static final class Count {
        private int played;
        private long acknowledged;
        private long refused;
        private long resent;
        private long reads;
        private long longest;
        private int left;
        private int cutShort;
        private final Map<String, Integer> rules = new TreeMap<>();
        private final Map<Trouble.Kind, Integer> troubles = new TreeMap<>();

        void add(Course.Result result) {
            played++;
            result.script().troubles().forEach(trouble -> troubles.merge(trouble.kind(), 1, Integer::sum));
            acknowledged += result.acknowledged();
            reads += result.reads();
            refused += result.refused();
            resent += result.resent();
            longest = Math.max(longest, result.longestSettled());
            left += result.left();
            cutShort += result.cutShort();
            if (result.broken() != null) {
                rules.merge(Shrinker.rule(result), 1, Integer::sum);
            }
        }

        String line(int members, long first) {
            return "drill: " + played + " courses with " + members + " members from seed " + first + ", " + acknowledged
                    + " orders acknowledged, " + refused + " refused, " + resent + " sent again after an answer, "
                    + reads
                    + " readings; longest " + longest + " ms without acknowledgement in a settled core; " + left
                    + " ended by themselves after SIGTERM, " + cutShort + " by the grace; broken " + rules
                    + "; troubles " + troubles;
        }
    }
}
