package tillerlink.net.wire;

import java.nio.charset.StandardCharsets;
import tillerlink.plain.Units;

/**
 * A submission as a client words it. Times are tenths of a millisecond, memory is megabytes.
 *
 * @param key the mark by which engines know a repeat, or null
 */
public record Ask(String id, String track, long patience, boolean repeat, String key, double estimate, double memory,
                  int tableGroup, byte[] statement) {
    private static final int ID_DIGITS = 16;
    private static final int KEY_MOST = 64;
    private static final double PATIENCE_MOST_MS = 3_600_000;

    /** @throws IllegalArgumentException if a header is missing or can't be used; the message names it */
    public static Ask of(HttpCall call) {
        String id = call.fields().get("x-correlation-id");
        if (id == null || id.length() != ID_DIGITS || !id.chars().allMatch(Ask::hexDigit)) {
            throw new IllegalArgumentException("X-Correlation-Id");
        }
        String key = call.fields().get("x-operation-key");
        if (key != null && (key.isEmpty() || key.length() > KEY_MOST || !key.chars().allMatch(Ask::plain))) {
            throw new IllegalArgumentException("X-Operation-Key");
        }
        double patience = amount(call, "x-deadline-ms");
        if (!(patience > 0 && patience <= PATIENCE_MOST_MS)) {
            throw new IllegalArgumentException("X-Deadline-Ms");
        }
        return new Ask(id, call.path().substring(call.path().lastIndexOf('/') + 1),
                (long) (patience * Units.TENTHS_PER_MS), "1".equals(call.fields().get("x-resent")), key,
                amount(call, "x-estimate-ms") * Units.TENTHS_PER_MS, amount(call, "x-space"),
                Statement.tableGroup(new String(call.body(), StandardCharsets.UTF_8)), call.body());
    }

    private static boolean hexDigit(int c) {
        return c < 128 && Character.digit(c, 16) >= 0;
    }

    private static boolean plain(int c) {
        return Ascii.letterOrDigit(c) || c == '-' || c == '_' || c == '.';
    }

    private static double amount(HttpCall call, String name) {
        String text = call.fields().get(name);
        if (text == null) {
            return 0;
        }
        try {
            double amount = Double.parseDouble(text);
            if (amount >= 0 && amount < 1e12) {
                return amount;
            }
        } catch (NumberFormatException e) {
            // Told below with the name of the header.
        }
        throw new IllegalArgumentException(name);
    }
}
