package tillerlink.policy;

/** When an engine's process started, on this gateway's clock. */
public final class StartTime {
    private StartTime() {
    }

    /**
     * What the list says, unchanged.
     *
     * @param told        as the list tells it, by the clocks of the engine and of this machine; 0 for long ago
     * @param now         the time at which it is told
     * @param confirmedAt up to when it is known that this process was not there yet; {@link Long#MIN_VALUE} if it is not
     */
    public static long bounded(long told, long now, long confirmedAt) {
        return told;
    }
}
