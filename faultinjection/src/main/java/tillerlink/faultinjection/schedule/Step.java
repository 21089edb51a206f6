package tillerlink.faultinjection.schedule;

import java.util.Locale;

/**
 * One fault of a schedule.
 *
 * @param atMs when it begins, from the start of the play on
 * @param who the gateway that it hits, or from which the link leads
 * @param other the gateway to which the link leads, or empty
 * @param lastsMs how long it lasts
 * @param amount depending on the kind, a chance, milliseconds or bytes
 */
public record Step(long atMs, Kind kind, String who, String other, long lastsMs, double amount) {
  /** The kinds of fault. */
  public enum Kind {
    /** SIGSTOP, and SIGCONT at the end. */
    STOPPED("stopped"),
    /** SIGKILL, and restarted with its disk. */
    KILLED("killed"),
    /** SIGKILL, and restarted with an empty disk. */
    DISK_LOST("disk lost"),
    /** SIGKILL, and restarted with an earlier copy of its disk. */
    OLD_DISK("old disk"),
    /** SIGTERM, and restarted. */
    LEFT("left"),
    /** The link from one gateway to another is cut. */
    CUT_ONE_WAY("cut one way"),
    /** The links between two gateways are cut; both reach the others. */
    CUT("cut"),
    /** A network partition between the gateways before one and those from it on. */
    PARTED("parted"),
    /** That share of datagrams is lost on all links of one gateway. */
    LOSSY("lossy"),
    /**
     * That share of datagrams is repeated, and that share reordered, on all links of one gateway.
     */
    MUDDLED("muddled"),
    /** All datagrams to one gateway are delayed by up to that many milliseconds. */
    LATE("late"),
    /** The link carries that many bytes per second. */
    SLOW("slow"),
    /** The link carries only datagrams up to that length. */
    SMALL("small"),
    /** All connections of clients are reset. */
    CLIENTS_RESET("clients reset"),
    /** All connections to engines are reset. */
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
        lastsMs,
        amount == 0 ? "" : String.format(Locale.ROOT, " (%.4g)", amount));
  }
}
