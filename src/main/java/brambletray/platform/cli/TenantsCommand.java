package brambletray.platform.cli;

import brambletray.platform.localsystem.JsonValues;
import java.io.PrintStream;
import java.util.Map;
import org.kohsuke.args4j.Argument;

/** Why a tenant is refused: how its quota stands at the coordinator. */
final class TenantsCommand extends StatusCommands.StatusCommand {
    private static final String PATH = "/brambletray/system/tenants";
    /** Of the table and of the answer alike. */
    private static final String[] FIELDS = {
        "name",
        "state",
        "rate-per-s",
        "burst-size",
        "capacity",
        "tokens",
        "run-ahead",
        "granted",
        "refused",
        "without-right",
        "returned"
    };

    @Argument(metaVar = "TENANT", usage = "only this tenant")
    String tenant;

    @Override
    String purpose() {
        return "why tenants are refused: their quotas at the coordinator, in its term; 1 where the tenant has none";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        Map<String, Object> answer = get(PATH);
        TextTable table = new TextTable(FIELDS);
        int rows = 0;
        for (Map<String, Object> usage : JsonValues.list(answer, "tenants")) {
            if (tenant == null || tenant.equals(usage.get("name"))) {
                table.row(cells(usage));
                rows++;
            }
        }
        print(out, answer, table);
        return tenant == null || rows > 0 ? OK : FAILED;
    }

    private static Object[] cells(Map<String, Object> usage) {
        Object[] cells = new Object[FIELDS.length];
        for (int i = 0; i < FIELDS.length; i++) {
            cells[i] = usage.get(FIELDS[i]);
        }
        return cells;
    }
}
