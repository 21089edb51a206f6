package tillerlink.faultinjection.soak;

/** A rule that was violated, with a description. */
public record SoakViolation(SoakRule rule, String description) {
  @Override
  public String toString() {
    return "BROKEN " + rule + ": " + description;
  }
}
