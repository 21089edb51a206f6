package tillerlink.model;

import java.util.ArrayDeque;

/** The submissions of one key, in the order in which this gateway accepted them. */
public final class KeyLine {
    public final ArrayDeque<Submission> members = new ArrayDeque<>();
    /** Nothing of this key is sent before. */
    public long restsUntil = Long.MIN_VALUE;
}
