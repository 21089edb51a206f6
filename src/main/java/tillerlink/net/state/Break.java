package tillerlink.net.state;

import tillerlink.model.Outcome;

/** Every way a connection can end, and what each means for a hop that was on it. */
public enum Break {
    /** Nobody listens at the other end. */
    REFUSED,
    /** It did not come up in time. */
    NEVER_UP,
    /** It did not say that it works, and a new one to the same place failed. */
    SILENT,
    RESET,
    CLOSED_BY_PEER,
    /** The peer said what can't be read. */
    GARBLED,
    /** No descriptor or no room was left for it here. */
    NO_ROOM,
    CLOSED_BY_US;

    /**
     * @param whole the hop may have come whole to the engine; else it surely never ran
     */
    public Outcome outcome(boolean whole) {
        return switch (this) {
            case REFUSED, NEVER_UP -> Outcome.UNREACHABLE;
            case SILENT, RESET, CLOSED_BY_PEER, GARBLED -> whole ? Outcome.SEVERED : Outcome.UNREACHABLE;
            case NO_ROOM -> Outcome.NEVER_SENT;
            case CLOSED_BY_US -> whole ? Outcome.CALLED_OFF : Outcome.NEVER_SENT;
        };
    }
}
