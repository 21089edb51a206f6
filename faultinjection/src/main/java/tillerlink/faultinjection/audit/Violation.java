package tillerlink.faultinjection.audit;

/** A rule that was violated, with a description. */
public record Violation(Rule rule, String description) {
  @Override
  public String toString() {
    return rule + ": " + description;
  }
}
