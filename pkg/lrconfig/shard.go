package lrconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
)

// ShardCount is the number of shards over which the accounts are spread by hash, and of those for the keys.
const ShardCount = 64

const (
	// ShardPlans names the shard that holds all plans.
	ShardPlans = "plans"
	// ShardCatalog names the shard that holds the models and routes.
	ShardCatalog = "catalog"
)

// AccountShard returns the name of the shard that holds the client account.
func AccountShard(account string) string { return shardName("accounts", account) }

// KeyShard returns the name of the shard that holds the key.
func KeyShard(keyID string) string { return shardName("keys", keyID) }

func shardName(kind, name string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return fmt.Sprintf("%s-%02d", kind, hash.Sum32()%ShardCount)
}

// A Shard is the smallest unit of configuration that is stored and sent. Only the field of its kind is filled.
type Shard struct {
	Plans    map[string]Plan      `json:"plans,omitempty"`
	Catalog  Catalog              `json:"catalog,omitzero"`
	Accounts map[string]Account   `json:"accounts,omitempty"`
	Keys     map[string]KeyRecord `json:"keys,omitempty"`
}

// Encode returns the JSON form of the shard and its digest, the SHA-256 in hexadecimal.
func (s Shard) Encode() ([]byte, string, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, "", fmt.Errorf("encode shard: %w", err)
	}
	return data, Digest(data), nil
}

// Digest returns the SHA-256 of the data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeShard returns the shard encoded in data. It fails when data does not have the digest.
func DecodeShard(data []byte, digest string) (Shard, error) {
	var shard Shard
	if Digest(data) != digest {
		return shard, fmt.Errorf("shard does not match digest %s; fetch it again from the platform", digest)
	}
	err := json.Unmarshal(data, &shard)
	if err != nil {
		return shard, fmt.Errorf("decode shard %s: %w", digest, err)
	}
	return shard, nil
}
