package tillerlink.faultinjection.soak;

/** A violation of a rule, with a description of what was observed. */
public record SoakViolation(SoakRule rule, String description) {
  @Override
  public String toString() {
    return "BROKEN " + rule + ": " + description;
  }
}
