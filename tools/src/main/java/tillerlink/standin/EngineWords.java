package tillerlink.standin;

import java.nio.charset.StandardCharsets;

/** What an engine says, encoded. */
public final class EngineWords {
    private EngineWords() {
    }

    public static byte[] ok(String id, int pages, byte[] first) {
        return answer(id, "ok", "count=" + pages, first);
    }

    public static byte[] batch(String id, int page, byte[] body) {
        return answer(id, "batch", "pos=" + page, body);
    }

    public static byte[] refused(String id) {
        return answer(id, "refused", "-", new byte[0]);
    }

    public static byte[] error(String id) {
        return answer(id, "error", "-", new byte[0]);
    }

    public static byte[] yes(String tag) {
        return answer(tag, "yes", "-", new byte[0]);
    }

    /** @param about frac, missing or parked */
    public static byte[] progress(String id, String about, double level) {
        return answer(id, "progress", "tell=" + about + ",reading=" + level, new byte[0]);
    }

    private static byte[] answer(String id, String word, String fields, byte[] body) {
        byte[] head = (id + " " + word + " " + fields + " " + body.length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[head.length + body.length + 2];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        whole[whole.length - 2] = '\r';
        whole[whole.length - 1] = '\n';
        return whole;
    }
}
