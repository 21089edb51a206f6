package tillerlink.faultinjection.schedule;

import java.util.Locale;

/**
 * A fault of a schedule.
 *
 * @param atMs the time at which the fault begins, in milliseconds since the start of the run
 * @param who the affected gateway, or the sender of the affected link
 * @param other the receiver of the affected link, or empty
 * @param durationMs the duration of the fault, in milliseconds
 * @param amount a probability, milliseconds, bytes or bytes per second, depending on the kind; 0 if
 *     the kind needs none
 */
public record Step(long atMs, Kind kind, String who, String other, long durationMs, double amount) {
  /** The kinds of fault. */
  public enum Kind {
    /** The gateway is stopped with SIGSTOP, and resumed with SIGCONT at the end. */
    STOPPED("stopped"),
    /** The gateway is killed with SIGKILL, and restarted with its disk at the end. */
    KILLED("killed"),
    /** The gateway is killed with SIGKILL, and restarted with an empty disk at the end. */
    DISK_LOST("disk lost"),
    /**
     * The gateway is killed, its disk is copied, and it is restarted. At the end it is killed again
     * and restarted with that copy.
     */
    OLD_DISK("old disk"),
    /** The gateway leaves the fleet on SIGTERM, and is restarted at the end. */
    LEFT("left"),
    /** The link from one gateway to another is cut. */
    CUT_ONE_WAY("cut one way"),
    /** Both links between two gateways are cut; both still reach the other gateways. */
    CUT("cut"),
    /** A network partition separates the gateways before one from it and the later ones. */
    PARTED("parted"),
    /** A share of the datagrams, given by the amount, is lost on all links of one gateway. */
    LOSSY("lossy"),
    /**
     * A share of the datagrams, given by the amount, is repeated, and the same share is reordered,
     * on all links of one gateway.
     */
    MUDDLED("muddled"),
    /** All datagrams to one gateway are delayed by up to the amount, in milliseconds. */
    LATE("late"),
    /** One link is limited to the amount, in bytes per second. */
    SLOW("slow"),
    /** One link drops datagrams longer than the amount, in bytes. */
    SMALL("small"),
    /** All client connections of one gateway are reset. */
    CLIENTS_RESET("clients reset"),
    /** All engine connections of one gateway are reset. */
    ENGINES_RESET("engines reset");

    private final String description;

    Kind(String description) {
      this.description = description;
    }

    @Override
    public String toString() {
      return description;
    }
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%6d ms  %-13s %s%s for %d ms%s",
        atMs,
        kind,
        who,
        other.isEmpty() ? "" : " > " + other,
        durationMs,
        amount == 0 ? "" : String.format(Locale.ROOT, " (%.4g)", amount));
  }
}
