package tillerlink.faultinjection.soak;

/** A rule that did not hold, and what was seen. */
public record SoakViolation(SoakRule rule, String words) {
  @Override
  public String toString() {
    return "BROKEN " + rule + ": " + words;
  }
}
