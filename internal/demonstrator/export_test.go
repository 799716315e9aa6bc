package demonstrator

// FastLoads keeps the weight store's limits from making the start of a test
// take as long as the loads would.
const FastLoads = "weight-loads-per-second = 1000\nweight-loads-at-once = 16"
