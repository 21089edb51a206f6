package tillerlink.faultinjection.play;

import java.util.Locale;

/**
 * One fault of a schedule.
 *
 * @param atMs when it begins, from the start of the play on
 * @param who the gateway that it befalls, or from which a way leads
 * @param other the gateway to which the way leads; empty if there is none
 * @param lastsMs how long it lasts
 * @param amount what the kind says: a chance, milliseconds, bytes
 */
public record Step(long atMs, Kind kind, String who, String other, long lastsMs, double amount) {
  /** What may befall. */
  public enum Kind {
    /** SIGSTOP, and SIGCONT in the end. */
    STOPPED("stopped"),
    /** SIGKILL, and started again with its disk. */
    KILLED("killed"),
    /** SIGKILL, and started again with nothing. */
    DISK_LOST("disk lost"),
    /** SIGKILL, and started again with the disk of some time before. */
    OLD_DISK("old disk"),
    /** SIGTERM, and started again. */
    LEFT("left"),
    /** Nothing gets from one to the other. */
    CUT_ONE_WAY("cut one way"),
    /** Nothing gets between one and the other, which both reach the rest. */
    CUT("cut"),
    /** Nothing gets between those up to one and those from it on. */
    PARTED("parted"),
    /** That share is lost on all ways of one. */
    LOSSY("lossy"),
    /** On all ways of one that share is repeated, and that share overtaken. */
    MUDDLED("muddled"),
    /** All that one is told comes late by up to that many milliseconds. */
    LATE("late"),
    /** The way carries so many bytes a second. */
    SLOW("slow"),
    /** The way carries only datagrams up to that length. */
    SMALL("small"),
    /** All connections of clients are reset. */
    CLIENTS_RESET("clients reset"),
    /** All connections to engines are reset. */
    ENGINES_RESET("engines reset");

    private final String words;

    Kind(String words) {
      this.words = words;
    }

    @Override
    public String toString() {
      return words;
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
