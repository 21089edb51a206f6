package tillerlink.faultinjection.audit;

/** A violation of a rule, with a description of what was observed. */
public record Violation(Rule rule, String description) {
  @Override
  public String toString() {
    return rule + ": " + description;
  }
}
