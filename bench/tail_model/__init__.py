"""A model of engines and trainers in virtual time, for measurements of scheduling."""
