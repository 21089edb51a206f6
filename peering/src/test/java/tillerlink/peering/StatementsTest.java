package tillerlink.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.peering.Gateways.Gateway;

/** Prepared statements over processes and the HTTP door. */
class StatementsTest {
    private static final String TOP = "{\"text\":\"select * from orders_17.orders where city = $1\",\"parameters\":[\"text\"],"
            + "\"groups\":[17],\"uses\":[\"17:orders.city\"],\"track\":\"dash\"}";

    @TempDir
    private Path folder;

    private static String call(Gateways all, Gateway gateway, String path, String json) throws InterruptedException {
        return all.call(gateway, path, json == null ? null : json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void preparedAnywhereKnownEverywhereAndChangedOnce() throws Exception {
        try (Gateways all = new Gateways(folder)) {
            Gateway n1 = all.start("n1", "-", "");
            String seed = "127.0.0.1:" + n1.udp;
            Gateway n2 = all.start("n2", "-", seed);
            Gateway n3 = all.start("n3", "-", seed);
            Gateway n4 = all.start("n4", "-", seed);
            all.awaitSeen(n1, "n2 REACHABLE n3 REACHABLE n4 REACHABLE");
            String first = call(all, n4, "/v1/statements/top", TOP);
            while (first.contains("\"problem\":\"Unknown\"")) {
                first = call(all, n4, "/v1/statements/top", TOP);
            }
            assertTrue(first.matches("\\{\"generation\":\\d+}"), first);
            all.await(n2, "/v1/statements/top", said -> said.contains("\"versions\":{\"17\":1}"));
            n3.process.destroyForcibly().waitFor();
            String change = call(all, n1, "/v1/schemas/17", "{\"renamed\":{\"17:orders.city\":\"17:orders.town\"}}");
            assertTrue(change.matches("\\{\"change\":\\d+}"), change);
            all.await(n4, "/v1/schemas/17", said -> said.contains("\"version\":2,"));
            String anew = all.await(n4, "/v1/statements/top", said -> said.contains("\"state\":\"ready\""));
            assertTrue(anew.contains("where town = $1") && anew.contains("\"versions\":{\"17\":2}"), anew);
            all.start("n3", "-", seed);
            assertEquals(anew, all.await(n3, "/v1/statements/top", said -> said.contains("town")));
        }
    }

    @Test
    void whatCannotBeUsedIsTurnedDownInPlainWords() throws Exception {
        try (Gateways all = new Gateways(folder)) {
            Gateway n1 = all.start("n1", "-", "");
            all.await(n1, "/v1/schemas/17", said -> said.contains("\"version\":1,"));
            assertEquals("{\"problem\":\"Malformed\",\"words\":\"no JSON: line 1, column 1\"}",
                    call(all, n1, "/v1/statements/top", "x"));
            assertEquals("{\"problem\":\"Malformed\",\"words\":\"effect: pure, receipted, effectful\"}",
                    call(all, n1, "/v1/statements/top", "{\"effect\":\"some\"}"));
            assertEquals("{\"problem\":\"Refused\",\"words\":\"parameter $1 has no type\"}",
                    call(all, n1, "/v1/statements/top", TOP.replace("[\"text\"]", "[]")));
            assertEquals("{\"problem\":\"Malformed\",\"words\":\"group: a number is wanted\"}",
                    call(all, n1, "/v1/schemas/x", "{}"));
            assertEquals("{\"problem\":\"Unknown\"}", call(all, n1, "/v1/run/top", "{\"parameters\":[\"a\"]}"));
        }
    }
}
