//! Generates the configuration from the operators' questionnaire.
